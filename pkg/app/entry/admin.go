package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/route"
)

// admin is the mux of the admin port.
func (a *App) admin() *http.ServeMux {
	mux := process.AdminMux(a.registry, a.ready)
	mux.HandleFunc("GET /status", a.serveStatus)
	mux.HandleFunc("GET /explain/requests", a.serveRequests)
	mux.HandleFunc("GET /explain/services/{service}", a.serveCandidates)
	mux.HandleFunc("POST /drain", a.serveDrain)
	return mux
}

var errNotReady = errors.New("no configuration yet")

// ready reports why callers can't be served yet, nil if they can.
func (a *App) ready() error {
	if a.config.Current().Revision() == 0 {
		return errNotReady
	}
	return nil
}

func (a *App) serveStatus(w http.ResponseWriter, _ *http.Request) {
	waiting, running := a.worker.Depth()
	counts := a.mesh.Counts()
	self := a.mesh.Self()
	status := operatorwire.EntryStatus{
		Node: self.ID, Incarnation: self.Incarnation, DataCenter: self.DataCenter, Leaving: self.Leaving,
		Revision: a.config.Current().Revision(), InFlight: a.api.InFlight(), JobsWaiting: waiting, JobsRunning: running,
		Links: a.peers.LinkCount(), StoreDown: a.guard.CircuitOpen(), Suspected: counts.Suspected, Refuted: counts.Refuted,
		Declared: counts.DeclaredDead, Pauses: counts.Pauses,
		Nodes: operatorwire.FromNodes(a.nodes.Nodes()), Endpoints: operatorwire.FromEndpoints(a.endpoints.View().Infos()),
	}
	httpx.WriteJSON(w, http.StatusOK, status)
}

// mostRequests is how many requests one answer shows.
const mostRequests = 50

func (a *App) serveRequests(w http.ResponseWriter, r *http.Request) {
	count := 10
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > mostRequests {
			http.Error(w, "count: valid: 1 to "+strconv.Itoa(mostRequests), http.StatusBadRequest)
			return
		}
		count = n
	}
	records := a.history.Latest(count)
	if id := r.URL.Query().Get("request"); id != "" {
		record, ok := a.history.Find(id)
		if !ok {
			http.Error(w, "request is not remembered here", http.StatusNotFound)
			return
		}
		records = append(records[:0], record)
	}
	list := []operatorwire.ServedRequest{}
	for _, record := range records {
		list = append(list, operatorwire.FromRecord(record))
	}
	httpx.WriteJSON(w, http.StatusOK, list)
}

// serveCandidates shows the sums of a choice that would be made now.
func (a *App) serveCandidates(w http.ResponseWriter, r *http.Request) {
	s, ok := a.config.Current().Service(r.PathValue("service"))
	if !ok {
		http.Error(w, "no such service", http.StatusNotFound)
		return
	}
	list := []operatorwire.Candidate{}
	for _, c := range a.router.Explain(queryOf(s), time.Now()) {
		list = append(list, operatorwire.FromCandidate(c))
	}
	httpx.WriteJSON(w, http.StatusOK, list)
}

// Figures of the request that explain asks about.
const (
	explainPrompt = 1000
	explainAnswer = 200
)

func queryOf(s fleet.Service) route.Query {
	if s.Kind() == fleet.Plain {
		return route.Query{Target: route.Target{Service: s.Name()}}
	}
	return route.Query{
		Target:       route.Target{Model: s.Model(), Version: s.Version(), Adapter: s.Adapter()},
		PromptTokens: explainPrompt, AnswerTokens: min(explainAnswer, s.MaxTokens()), RiskWeight: 1,
	}
}

func (a *App) serveDrain(w http.ResponseWriter, _ *http.Request) {
	a.startDrain()
	w.WriteHeader(http.StatusAccepted)
}
