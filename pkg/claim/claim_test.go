package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"ironhollow/pkg/claim"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// TestMain fixes the seed of the property tests, so that each run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

var key = claim.Key{Team: "agents", Service: "ledger", Key: "k"}

const callTime = 5 * time.Second

// service is a called service that counts its runs.
type service struct {
	mu   *sync.Mutex
	runs int
	// ranFor has the requests that the service ran.
	ranFor []string
	// loseResponse makes the service run and lose its response.
	loseResponse bool
	// rejectUnsent makes calls fail without a run.
	rejectUnsent bool
	// endUnmarked makes the service leave the end of its response unmarked.
	endUnmarked bool
	latency     time.Duration
}

// send runs the call for a request without a name.
func (s *service) send(context.Context) (claim.Response, error) { return s.sendFor("") }

func (s *service) sendFor(request string) (claim.Response, error) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectUnsent {
		return claim.Response{}, claim.ErrNotSent
	}
	s.runs++
	s.ranFor = append(s.ranFor, request)
	if s.loseResponse {
		return claim.Response{}, errors.New("connection cut")
	}
	return claim.Response{Status: 200, Body: fmt.Appendf(nil, "run %d", s.runs), EndUnmarked: s.endUnmarked}, nil
}

func call(c *claim.Claims, s *service) claim.Outcome {
	return c.Run(context.Background(), key, "POST /x", time.Now().Add(callTime), s.send)
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		s := &service{mu: &sync.Mutex{}}
		first := claim.New(table.NewWriter(store, "entry-1"))
		second := claim.New(table.NewWriter(store, "entry-2"))
		call(first, s)
		got, ok := call(second, s).(claim.Ran)
		if !ok || string(got.Response.Body) != "run 1" || !got.Replayed || s.runs != 1 {
			t.Errorf("got %+v after %d runs, want the replay of run 1", got, s.runs)
		}
		if _, ok := second.Run(context.Background(), key, "POST /other", time.Now().Add(callTime), s.send).(claim.KeyReused); !ok {
			t.Error("a key used for another call: want KeyReused")
		}
	})
}

// Guards against a replayed response that claims to be complete although its endpoint did not mark its end.
func TestReplayKeepsUnmarkedEnd(t *testing.T) {
	for _, endUnmarked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := tables.New()
			s := &service{mu: &sync.Mutex{}, endUnmarked: endUnmarked}
			for i := range 2 {
				got, ok := call(claim.New(table.NewWriter(store, fmt.Sprintf("entry-%d", i))), s).(claim.Ran)
				if !ok || got.Response.EndUnmarked != endUnmarked || string(got.Response.Body) != "run 1" {
					t.Errorf("call %d: got %+v, want run 1 with an unmarked end %v", i, got, endUnmarked)
				}
			}
		})
	}
}

// Guards against rows of earlier versions that are not replayed, and rows of unknown states that are.
func TestStoredRowsAreReplayedByState(t *testing.T) {
	for state, want := range map[string]claim.Outcome{
		"done":           claim.Ran{Response: claim.Response{Status: 200, ContentType: "text/plain", Body: []byte("answer")}, Replayed: true},
		"done-unmarked":  claim.Ran{Response: claim.Response{Status: 200, ContentType: "text/plain", Body: []byte("answer"), EndUnmarked: true}, Replayed: true},
		"of a later one": claim.Unknown{},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := tables.New()
			s := &service{mu: &sync.Mutex{}}
			writer := table.NewWriter(store, "entry-1")
			call(claim.New(writer), s)
			rows, err := store.List(t.Context(), "claim/", "", 1)
			if err != nil || len(rows) != 1 {
				t.Fatalf("got %d rows, %v, want 1", len(rows), err)
			}
			value := fmt.Appendf(nil, `{"state":%q,"request":"POST /x","until":0,"status":200,"content_type":"text/plain","body":"YW5zd2Vy"}`, state)
			writer.Commit(t.Context(), table.Write{Key: rows[0].Key, Value: value, If: table.Always{}})
			got := call(claim.New(writer), s)
			if _, unknown := got.(claim.Unknown); unknown {
				got = claim.Unknown{}
			}
			if !reflect.DeepEqual(got, want) || s.runs != 1 {
				t.Errorf("%s: got %+v after %d runs, want %+v after 1", state, got, s.runs, want)
			}
		})
	}
}

// TestOutcomeOfFirstAndRepeatedCall causes each outcome of a call and then repeats the call.
func TestOutcomeOfFirstAndRepeatedCall(t *testing.T) {
	down := func(tables.Call) tables.Fault { return tables.Down{} }
	cases := []struct {
		name      string
		service   service
		faults    func(tables.Call) tables.Fault
		first     string
		second    string
		totalRuns int
	}{
		{name: "done", first: "claim.Ran", second: "claim.Ran", totalRuns: 1},
		{name: "rejected without a run, then repeated", service: service{rejectUnsent: true}, first: "claim.NotRun", second: "claim.Ran", totalRuns: 1},
		{name: "answer lost", service: service{loseResponse: true}, first: "claim.Unknown", second: "claim.Unknown", totalRuns: 1},
		{name: "store down", faults: down, first: "claim.NotRun", second: "claim.Ran", totalRuns: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tables.New()
				store.SetFaults(c.faults)
				s := c.service
				s.mu = &sync.Mutex{}
				claims := claim.New(table.NewWriter(store, "entry-1"))
				startedAt := time.Now()
				if got := fmt.Sprintf("%T", call(claims, &s)); got != c.first {
					t.Errorf("first: got %s, want %s", got, c.first)
				}
				if took := time.Since(startedAt); took > 2*time.Second {
					t.Errorf("first: returned after %v, want within 2s", took)
				}
				store.SetFaults(nil)
				s.rejectUnsent, s.loseResponse = false, false
				if got := fmt.Sprintf("%T", call(claims, &s)); got != c.second {
					t.Errorf("second: got %s, want %s", got, c.second)
				}
				if s.runs != c.totalRuns {
					t.Errorf("runs: got %d, want %d", s.runs, c.totalRuns)
				}
				claims.Wait()
			})
		})
	}
}

// TestOwnerKilled stops the owner of a claim before and after it sent the call. Other processes
// cannot distinguish the two, so the outcome must be unknown and nothing may be sent again.
func TestOwnerKilled(t *testing.T) {
	for _, sent := range []bool{false, true} {
		t.Run(fmt.Sprintf("after sending: %v", sent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tables.New()
				s := &service{mu: &sync.Mutex{}}
				owner := claim.New(table.NewWriter(store, "entry-1"))
				release := make(chan struct{})
				ownerReturned := make(chan struct{})
				go func() {
					defer close(ownerReturned)
					owner.Run(context.Background(), key, "POST /x", time.Now().Add(callTime), func(ctx context.Context) (claim.Response, error) {
						if sent {
							_, _ = s.send(ctx)
						}
						<-release // The process has failed and does nothing until it is released.
						return claim.Response{}, errors.New("killed")
					})
				}()
				synctest.Wait()
				other := claim.New(table.NewWriter(store, "entry-2"))
				if _, ok := call(other, s).(claim.InProgress); !ok {
					t.Error("while the owner may be alive: want InProgress")
				}
				time.Sleep(11 * time.Second)
				if _, ok := call(other, s).(claim.Unknown); !ok {
					t.Error("after the owner's deadline: want Unknown")
				}
				runs := s.runs
				if want := map[bool]int{false: 0, true: 1}[sent]; runs != want {
					t.Errorf("runs: got %d, want %d", runs, want)
				}
				close(release)
				<-ownerReturned
				owner.Wait()
				if _, ok := call(other, s).(claim.Unknown); !ok {
					t.Error("after the owner resumed: want Unknown still")
				}
			})
		})
	}
}

// input is the input of an operation in the linearizability check.
type input struct{ entry int }

type output struct {
	typeName string
	body     string
}

// model is the specification for the linearizability check. Its state is the number of the run
// that has happened, 0 for none. Ran must return the response of run 1. NotRun is allowed at
// any time, as it concerns only the request itself. After Unknown the request may or may not
// have made the run.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, _, out any) []any {
		completedRun, observed := state.(int), out.(output)
		switch observed.typeName {
		case "claim.Ran":
			if observed.body == "run 1" {
				return []any{1}
			}
			return nil
		case "claim.Unknown":
			return []any{completedRun, 1}
		}
		return []any{completedRun}
	},
}

// TestHistoriesUnderFaults draws faults for each call of the store and of the service, lets
// four entry processes race on one key, and checks that the history is linearizable.
func TestHistoriesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var operations []porcupine.Operation
		var runs int
		var ranFor []string
		notRun := map[string]bool{}
		faults := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 30).Draw(rt, "faults")
		lose := rapid.Bool().Draw(rt, "lose")
		refuse := rapid.Bool().Draw(rt, "refuse")
		latency := time.Duration(rapid.IntRange(0, 900).Draw(rt, "took")) * time.Millisecond
		pauses := rapid.SliceOfN(rapid.IntRange(0, 2000), 4, 4).Draw(rt, "pauses")
		synctest.Test(t, func(*testing.T) {
			store := tables.New()
			store.SetFaults(func(c tables.Call) tables.Fault {
				switch faults[int(c.Number)%len(faults)] {
				case 0:
					return tables.LoseResponse{}
				case 1:
					return tables.Down{}
				case 2:
					return tables.LateCommit{After: 400 * time.Millisecond}
				case 3:
					return tables.Delay{Duration: 700 * time.Millisecond}
				}
				return tables.NoFault{}
			})
			s := &service{mu: &sync.Mutex{}, loseResponse: lose, rejectUnsent: refuse, latency: latency}
			var mu sync.Mutex
			var wait sync.WaitGroup
			for entry := range 4 {
				claims := claim.New(table.NewWriter(store, fmt.Sprintf("entry-%d", entry)))
				pause := time.Duration(pauses[entry]) * time.Millisecond
				wait.Go(func() {
					for attempt := range 3 {
						time.Sleep(pause)
						startedAt := time.Now().UnixNano()
						request := fmt.Sprintf("%d.%d", entry, attempt)
						outcome := claims.Run(context.Background(), key, "POST /x", time.Now().Add(callTime), func(context.Context) (claim.Response, error) {
							return s.sendFor(request)
						})
						out := output{typeName: fmt.Sprintf("%T", outcome)}
						if ran, ok := outcome.(claim.Ran); ok {
							out.body = string(ran.Response.Body)
						}
						mu.Lock()
						if _, ok := outcome.(claim.NotRun); ok {
							notRun[request] = true
						}
						operations = append(operations, porcupine.Operation{
							ClientId: entry, Input: input{entry}, Call: startedAt, Output: out, Return: time.Now().UnixNano(),
						})
						mu.Unlock()
					}
				})
			}
			wait.Wait()
			store.SetFaults(nil)
			time.Sleep(5 * time.Minute) // Wait for late writes and records to end.
			runs, ranFor = s.runs, s.ranFor
		})
		if runs > 1 {
			rt.Fatalf("runs: got %d, want 1 at most", runs)
		}
		if !porcupine.CheckOperations(model.ToModel(), operations) {
			rt.Fatalf("the history is not linearizable: %+v", operations)
		}
		for _, request := range ranFor {
			if notRun[request] {
				rt.Fatalf("request %s: got NotRun, but it ran", request)
			}
		}
	})
}
