package job_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/job"
	"ironhollow/pkg/object"
	"ironhollow/pkg/standin/objects"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// Guards against a second run of a job that Reconcile finds while it waits for its rerun.
func TestReconcileLeavesJobThatWaitsForRerun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGenerator(time.Second)
		g.err = code.New(code.Quarantined, "in quarantine")
		e := newEntry("n1@1", tables.New(), objects.New(), g)
		defer e.kill()
		j, _, err := e.accept("k", `"b"`, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		for range 3 {
			if added, err := e.worker.Reconcile(context.Background()); err != nil || added != 0 {
				t.Errorf("got %d jobs added, error %v; want none, as the job waits", added, err)
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if g.runs[j.ID] != 2 {
			t.Errorf("got %d runs after one rerun delay, want 2", g.runs[j.ID])
		}
	})
}

// Guards against jobs of other shards counted twice when the store fails in the middle of a page.
func TestRecoverCountsEachJobOnceAfterError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 12
		rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Hour)
		lost, survivor := newEntry("n1@1", rows, bodies, g), newEntry("n2@1", rows, bodies, g)
		defer survivor.kill()
		acceptJobs(t, lost, jobs)
		lost.kill()
		// The listing and the first take-over, a read and a write, succeed.
		calls := 0
		rows.SetFaults(func(tables.Call) tables.Fault {
			if calls++; calls > 3 {
				return tables.Down{}
			}
			return tables.NoFault{}
		})
		taken, remaining, err := survivor.worker.Recover(context.Background(), "n1@1", job.Shard{Index: 1, Count: 2})
		if err == nil || taken+remaining != jobs {
			t.Errorf("got %d taken, %d remaining, error %v; want %d together and an error", taken, remaining, err, jobs)
		}
	})
}

// Guards against a restarted node that leaves the jobs after the first page to nobody.
func TestRecoverAllTakesOverMoreThanOnePage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 450
		rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Hour)
		first, restarted := newEntry("n1@1", rows, bodies, g), newEntry("n1@2", rows, bodies, g)
		defer restarted.kill()
		var accepting sync.WaitGroup
		for i := range jobs {
			accepting.Go(func() { _, _, _ = first.accept(fmt.Sprint("k", i), `"b"`, time.Hour) })
		}
		accepting.Wait()
		first.kill()
		if taken, err := restarted.worker.RecoverAll(context.Background(), "n1@1"); taken != jobs || err != nil {
			t.Errorf("got %d jobs taken over, error %v; want %d", taken, err, jobs)
		}
		if left, err := restarted.store.OwnedBy(context.Background(), "n1@1", 1); len(left) > 0 || err != nil {
			t.Errorf("got %d jobs left, error %v; want none", len(left), err)
		}
	})
}

// acceptJobs accepts jobs with rising deadlines and returns the ID of the first.
func acceptJobs(t *testing.T, e *entry, count int) (first string) {
	t.Helper()
	for i := range count {
		accepted, _, err := e.accept(fmt.Sprint("k", i), `"b"`, time.Hour+time.Duration(i)*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = accepted.ID
		}
	}
	return first
}

// Guards against a row that cannot be read and so keeps the jobs behind it from being taken over or run.
func TestUnusableJobDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 12
		rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Hour)
		lost, survivor := newEntry("n1@1", rows, bodies, g), newEntry("n2@1", rows, bodies, g)
		defer survivor.kill()
		first := acceptJobs(t, lost, jobs)
		lost.kill()
		corrupt := table.Commit{Token: table.Token{Writer: "t", Sequence: 1}, Writes: []table.Write{{Key: "job/" + first, Value: []byte("not a row"), If: table.Always{}}}}
		if _, ok := rows.Commit(context.Background(), corrupt).(table.Committed); !ok {
			t.Fatal("corrupt row: got not committed")
		}
		taken, err := survivor.worker.RecoverAll(context.Background(), "n1@1")
		var unusable *job.UnusableError
		if taken != jobs-1 || !errors.As(err, &unusable) || unusable.ID != first {
			t.Errorf("got %d taken over, error %v; want %d and an error that names %s", taken, err, jobs-1, first)
		}
	})
}

// Guards against a job that runs, and fails for good, on a body whose transfer the object store broke off without a mark.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Millisecond)
	body := `"` + strings.Repeat("b", 20<<10) + `"`
	var truncates atomic.Bool
	truncates.Store(true)
	mux := http.NewServeMux()
	bodies.Register(mux)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || !truncates.Load() {
			mux.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = w.Write([]byte(body[:len(body)/2]))
	}))
	t.Cleanup(server.Close)
	client := object.New(server.Listener.Addr().String(), time.Second, server.Client())
	lost, survivor := newEntry("n1@1", rows, client, newGenerator(time.Hour)), newEntry("n2@1", rows, client, g)
	defer survivor.kill()
	j, _, err := lost.accept("k", body, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	lost.kill()
	taken, err := survivor.worker.RecoverAll(t.Context(), "n1@1")
	if taken != 0 || !job.IsUnusable(err) {
		t.Errorf("truncated body: got %d jobs taken over, error %v; want none and an error", taken, err)
	}
	truncates.Store(false)
	if taken, err := survivor.worker.RecoverAll(t.Context(), "n1@1"); taken != 1 || err != nil {
		t.Errorf("whole body: got %d jobs taken over, error %v; want 1", taken, err)
	}
	for range 100 {
		if survivor.getJob(t, j.ID).State == job.Done {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("got job %+v, want it done", survivor.getJob(t, j.ID).State)
}

// Guards against a job that nobody runs because the store applied its take-over and then stopped answering.
func TestTakeOverWithUnknownOutcomeIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, bodies, g := tables.New(), objects.New(), newGenerator(time.Second)
		lost, survivor := newEntry("n1@1", rows, bodies, g), newEntry("n2@1", rows, bodies, g)
		defer survivor.kill()
		id := acceptJobs(t, lost, 1)
		lost.kill()
		applied := false
		rows.SetFaults(func(call tables.Call) tables.Fault {
			if applied {
				return tables.Down{}
			}
			if applied = call.Operation == tables.OperationCommit; applied {
				return tables.LoseResponse{}
			}
			return tables.NoFault{}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if _, _, err := survivor.worker.Recover(ctx, "n1@1", job.Shard{Count: 1}); err == nil {
			t.Fatal("got no error, want one, as the store is down")
		}
		rows.SetFaults(nil)
		for range 3 {
			if _, err := survivor.worker.ReconcileIfRequested(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
		}
		if got := survivor.getJob(t, id); got.State != job.Done {
			t.Errorf("got job %+v, want it done", got)
		}
	})
}

// Guards against a job behind the first page of an entry's own jobs that Reconcile never finds.
func TestReconcileFindsJobBehindFirstPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const running = 250
		e := newEntry("n1@1", tables.New(), objects.New(), newGenerator(time.Hour))
		defer e.kill()
		var accepting sync.WaitGroup
		for i := range running {
			accepting.Go(func() { _, _, _ = e.accept(fmt.Sprint("k", i), `"b"`, time.Hour) })
		}
		accepting.Wait()
		// The worker does not have the job, as after a commit with an unknown outcome.
		late := job.Job{ID: "late", Team: "team", Body: []byte(`"b"`), Deadline: time.Now().Add(2 * time.Hour), State: job.Accepted, Owner: e.owner}
		if _, _, err := e.store.Accept(context.Background(), late); err != nil {
			t.Fatal(err)
		}
		added := 0
		for range 2 {
			n, err := e.worker.Reconcile(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			added += n
		}
		if added != 1 || !e.worker.Has("late") {
			t.Errorf("got %d jobs added, want the one behind the first page", added)
		}
	})
}
