package job_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"ironhollow/pkg/code"
	"ironhollow/pkg/job"
	"ironhollow/pkg/object"
	"ironhollow/pkg/standin/objects"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// TestMain fixes the seed of the property tests, so that each run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

// generator generates an answer token by token over the given duration.
type generator struct {
	mu       sync.Mutex
	duration time.Duration
	runs     map[string]int
	// received is the number of tokens from which the last run of a job started.
	received map[string]int
	err      error
}

func newGenerator(duration time.Duration) *generator {
	return &generator{duration: duration, runs: map[string]int{}, received: map[string]int{}}
}

type progress struct {
	mu   sync.Mutex
	list []string
}

func (t *progress) Tokens() (string, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return "1", append([]string(nil), t.list...)
}

const answerTokens = 100

func (g *generator) Generate(ctx context.Context, j job.Job, _ string, received []string, onStart func(job.Progress)) (job.Result, error) {
	g.mu.Lock()
	g.runs[j.ID]++
	g.received[j.ID] = len(received)
	err := g.err
	g.mu.Unlock()
	if err != nil {
		return job.Result{}, err
	}
	p := &progress{list: append([]string(nil), received...)}
	onStart(p)
	for len(p.list) < answerTokens {
		timer := time.NewTimer(g.duration / answerTokens)
		select {
		case <-ctx.Done():
			return job.Result{}, ctx.Err()
		case <-timer.C:
		}
		p.mu.Lock()
		p.list = append(p.list, fmt.Sprintf("%s-%d ", j.ID, len(p.list)))
		p.mu.Unlock()
	}
	return job.Result{Text: strings.Join(p.list, ""), Finish: "stop"}, nil
}

func fullAnswer(id string) string {
	var b strings.Builder
	for i := range answerTokens {
		fmt.Fprintf(&b, "%s-%d ", id, i)
	}
	return b.String()
}

// entry holds the job store and the worker of one entry.
type entry struct {
	owner  string
	store  *job.Store
	worker *job.Worker
	kill   context.CancelFunc
}

func newEntry(owner string, rows *tables.Store, bodies object.Store, g job.Generator) *entry {
	ctx, kill := context.WithCancel(context.Background())
	writer := table.NewWriter(rows, owner)
	store := job.NewStore(writer, bodies, job.NewBatcher(writer, 10*time.Millisecond))
	interval := func() time.Duration { return 2 * time.Second }
	worker := job.NewWorker(ctx, store, g, owner, 8, interval, job.NewCounters(prometheus.NewRegistry()))
	return &entry{owner, store, worker, kill}
}

func (e *entry) accept(key string, body string, ttl time.Duration) (job.Job, bool, error) {
	j := job.Job{
		ID: job.NewID("team", "review", key), Team: "team", Service: "review", RequestHash: body, Body: []byte(body),
		Deadline: time.Now().Add(ttl), Accepted: time.Now(), State: job.Accepted, Owner: e.owner,
	}
	accepted, created, err := e.store.Accept(context.Background(), j)
	if err == nil && created {
		e.worker.Add(accepted)
	}
	return accepted, created, err
}

func (e *entry) getJob(t *testing.T, id string) job.Job {
	t.Helper()
	j, err := e.store.Get(context.Background(), "team", id)
	if err != nil {
		t.Fatalf("job %s: %v", id, err)
	}
	return j
}

func TestAnyEntryReturnsFinishedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, bodies, g := tables.New(), objects.New(), newGenerator(5*time.Second)
		first, second := newEntry("n1@1", rows, bodies, g), newEntry("n2@1", rows, bodies, g)
		defer first.kill()
		j, created, err := first.accept("k", `"b"`, time.Hour)
		if err != nil || !created {
			t.Fatalf("got created %v, error %v; want a new job", created, err)
		}
		again, created, err := second.accept("k", `"b"`, time.Hour)
		if err != nil || created || again.ID != j.ID {
			t.Errorf("repeated key: got job %s created %v error %v, want job %s", again.ID, created, err, j.ID)
		}
		if _, _, err := second.accept("k", `"other"`, time.Hour); code.Of(err).Number() != code.KeyReused.Number() {
			t.Errorf("key with another request: got %v, want KeyReused", err)
		}
		time.Sleep(6 * time.Second)
		got := second.getJob(t, j.ID)
		if got.State != job.Done || got.Result.Text != fullAnswer(j.ID) {
			t.Errorf("got %s with %d characters, want done with %d", got.State, len(got.Result.Text), len(fullAnswer(j.ID)))
		}
		if _, err := second.store.Get(context.Background(), "others", j.ID); code.Of(err).Number() != code.UnknownJob.Number() {
			t.Errorf("another team's job: got %v, want UnknownJob", err)
		}
	})
}

// TestKilledOwnersJobsAreTakenOver guards against losing the jobs of a killed entry, or their
// progress: two survivors take over its jobs and resume them from checkpoints.
func TestKilledOwnersJobsAreTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, bodies, g := tables.New(), objects.New(), newGenerator(10*time.Second)
		dead := newEntry("n1@1", rows, bodies, g)
		var ids []string
		for i := range 8 {
			j, _, err := dead.accept(fmt.Sprint(i), `"b"`, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			ids = append(ids, j.ID)
		}
		time.Sleep(5 * time.Second)
		dead.kill()
		survivors := []*entry{newEntry("n2@1", rows, bodies, g), newEntry("n3@1", rows, bodies, g)}
		for rank, s := range survivors {
			defer s.kill()
			if _, _, err := s.worker.Recover(context.Background(), "n1@1", job.Shard{Index: rank, Count: 2}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(12 * time.Second)
		for _, id := range ids {
			got := survivors[0].getJob(t, id)
			if got.State != job.Done || got.Result.Text != fullAnswer(id) {
				t.Errorf("job %s: got %s with %d characters, want done and complete", id, got.State, len(got.Result.Text))
			}
			if g.received[id] < 30 {
				t.Errorf("job %s: resumed from %d tokens, want at least 30 from its checkpoint", id, g.received[id])
			}
		}
		left, err := survivors[0].store.OwnedBy(context.Background(), "n1@1", 10)
		if err != nil || len(left) != 0 {
			t.Errorf("jobs of the killed owner: got %d (%v), want 0", len(left), err)
		}
	})
}

// TestOwnerThatCameBackDoesNotAnswerTwice guards against a second result for a job: an owner
// is so slow that another entry takes its job over and finishes it first.
func TestOwnerThatCameBackDoesNotAnswerTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, bodies := tables.New(), objects.New()
		slow, quick := newGenerator(time.Minute), newGenerator(time.Second)
		frozen := newEntry("n1@1", rows, bodies, slow)
		other := newEntry("n2@1", rows, bodies, quick)
		defer frozen.kill()
		defer other.kill()
		j, _, err := frozen.accept("k", `"b"`, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		if taken, _, err := other.worker.Recover(context.Background(), "n1@1", job.Shard{Count: 1}); taken != 1 || err != nil {
			t.Fatalf("got %d jobs taken over (%v), want 1", taken, err)
		}
		time.Sleep(2 * time.Second)
		before := other.getJob(t, j.ID)
		time.Sleep(2 * time.Minute)
		after := other.getJob(t, j.ID)
		if before.State != job.Done || before.Owner != "n2@1" || after.Owner != before.Owner || after.Result.Text != before.Result.Text {
			t.Errorf("got owner %s then %s, want n2@1 both times", before.Owner, after.Owner)
		}
	})
}

// TestStoreOutageLosesNothing guards against losing a result when the store is down while a
// job runs and when it finishes.
func TestStoreOutageLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, bodies, g := tables.New(), objects.New(), newGenerator(5*time.Second)
		e := newEntry("n1@1", rows, bodies, g)
		defer e.kill()
		j, _, err := e.accept("k", `"b"`, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		rows.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
		bodies.SetDown(true)
		if _, _, err := e.accept("k2", `"b"`, time.Hour); err == nil {
			t.Error("got a job accepted while the store is down, want an error")
		}
		time.Sleep(30 * time.Minute)
		rows.SetFaults(nil)
		bodies.SetDown(false)
		time.Sleep(10 * time.Second)
		if got := e.getJob(t, j.ID); got.State != job.Done || got.Result.Text != fullAnswer(j.ID) || g.runs[j.ID] != 1 {
			t.Errorf("got %s after %d runs, want done after 1", got.State, g.runs[j.ID])
		}
	})
}

// TestFailureAtEveryCall injects each kind of fault at each call of the store in turn, and
// checks that every job reported as accepted finishes with a complete result.
func TestFailureAtEveryCall(t *testing.T) {
	faults := []tables.Fault{tables.LoseResponse{}, tables.Down{}, tables.Refuse{}, tables.LateCommit{After: 2 * time.Second}, tables.Delay{Duration: 3 * time.Second}}
	for _, fault := range faults {
		for n := int64(1); n <= 6; n++ {
			t.Run(fmt.Sprintf("%T at call %d", fault, n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Second)
					rows.SetFaults(func(c tables.Call) tables.Fault {
						if c.Number == n {
							return fault
						}
						return tables.NoFault{}
					})
					e := newEntry("n1@1", rows, bodies, g)
					defer e.kill()
					j, _, err := e.accept("k", `"b"`, time.Hour)
					if err != nil {
						// The caller retries with the same key, as the documentation of errors asks.
						j, _, err = e.accept("k", `"b"`, time.Hour)
					}
					if err != nil {
						t.Fatalf("accepted neither at first nor when retried: %v", err)
					}
					time.Sleep(10 * time.Second)
					for range 3 {
						_, _ = e.worker.Reconcile(context.Background())
						time.Sleep(5 * time.Second)
					}
					rows.SetFaults(nil)
					if got := e.getJob(t, j.ID); got.State != job.Done || got.Result.Text != fullAnswer(j.ID) {
						t.Errorf("got %s, want done with a complete result", got.State)
					}
				})
			})
		}
	}
}

// TestPermanentErrorOrDeadlineFailsJob checks that a job fails at once with a permanent error, and
// with any other error only after reruns until its deadline.
func TestPermanentErrorOrDeadlineFailsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Second)
		e := newEntry("n1@1", rows, bodies, g)
		defer e.kill()
		g.err = code.New(code.BadBody, "no")
		bad, _, _ := e.accept("k1", `"b"`, time.Hour)
		time.Sleep(time.Second)
		if got := e.getJob(t, bad.ID); got.State != job.Failed || got.Result.Code != code.BadBody.Number() {
			t.Errorf("got %s with code %d, want failed with %d", got.State, got.Result.Code, code.BadBody.Number())
		}
		g.err = errors.New("no endpoint")
		late, _, _ := e.accept("k2", `"b"`, 10*time.Second)
		time.Sleep(20 * time.Second)
		if got := e.getJob(t, late.ID); got.State != job.Failed || g.runs[late.ID] < 3 {
			t.Errorf("got %s after %d runs, want failed after its deadline and several runs", got.State, g.runs[late.ID])
		}
	})
}

// TestBatchedJobsHaveSeparateOutcomes accepts many jobs at once, some with the same key, and
// checks that all are accepted and each key gets exactly one job.
func TestBatchedJobsHaveSeparateOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		keys := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 60).Draw(rt, "keys")
		created := map[int]int{}
		var errs []error
		synctest.Test(t, func(*testing.T) {
			rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Second)
			e := newEntry("n1@1", rows, bodies, g)
			var mu sync.Mutex
			var wait sync.WaitGroup
			for _, k := range keys {
				wait.Go(func() {
					_, isNew, err := e.accept(fmt.Sprint(k), `"b"`, time.Hour)
					mu.Lock()
					defer mu.Unlock()
					errs = append(errs, err)
					if isNew {
						created[k]++
					}
				})
			}
			wait.Wait()
			e.kill()
			time.Sleep(time.Minute)
		})
		if err := errors.Join(errs...); err != nil {
			rt.Fatalf("got error %v, want every job accepted", err)
		}
		for _, k := range keys {
			if created[k] != 1 {
				rt.Fatalf("key %d: got %d jobs created, want 1", k, created[k])
			}
		}
	})
}
