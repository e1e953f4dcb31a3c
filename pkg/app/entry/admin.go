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

// adminMux returns the handlers of the admin port.
func (a *App) adminMux() *http.ServeMux {
	mux := process.AdminMux(a.registry, a.ready)
	mux.HandleFunc("GET /status", a.serveStatus)
	mux.HandleFunc("GET /explain/requests", a.serveRequests)
	mux.HandleFunc("GET /explain/services/{service}", a.serveCandidates)
	mux.HandleFunc("POST /drain", a.serveDrain)
	return mux
}

var errNotReady = errors.New("no configuration yet")

// ready returns an error while this process cannot serve callers.
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
		Links: a.peers.LinkCount(), StoreDown: a.guardedStore.CircuitOpen(), Suspected: counts.Suspected, Refuted: counts.Refuted,
		DeclaredDead: counts.DeclaredDead, Pauses: counts.Pauses,
		Nodes: operatorwire.FromNodes(a.nodes.Nodes()), Endpoints: operatorwire.FromEndpoints(a.endpoints.View().Infos()),
	}
	httpx.WriteJSON(w, http.StatusOK, status)
}

// maxRequests is the maximum number of requests in one response of /explain/requests.
const maxRequests = 50

func (a *App) serveRequests(w http.ResponseWriter, r *http.Request) {
	count := 10
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxRequests {
			http.Error(w, "count: valid: 1 to "+strconv.Itoa(maxRequests), http.StatusBadRequest)
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

// serveCandidates returns the endpoints that the router would consider for a request to the
// service now, with the estimates by which it ranks them.
func (a *App) serveCandidates(w http.ResponseWriter, r *http.Request) {
	s, ok := a.config.Current().Service(r.PathValue("service"))
	if !ok {
		http.Error(w, "no such service", http.StatusNotFound)
		return
	}
	list := []operatorwire.Candidate{}
	for _, c := range a.router.Explain(explainQuery(s), time.Now()) {
		list = append(list, operatorwire.FromCandidate(c))
	}
	httpx.WriteJSON(w, http.StatusOK, list)
}

// Sizes of the hypothetical request that /explain/services is answered for.
const (
	explainPromptTokens = 1000
	explainAnswerTokens = 200
)

func explainQuery(s fleet.Service) route.Query {
	if s.Kind() == fleet.Plain {
		return route.Query{Target: route.Target{Service: s.Name()}}
	}
	return route.Query{
		Target:       route.Target{Model: s.Model(), Version: s.Version(), Adapter: s.Adapter()},
		PromptTokens: explainPromptTokens, AnswerTokens: min(explainAnswerTokens, s.MaxTokens()), RiskWeight: 1,
	}
}

func (a *App) serveDrain(w http.ResponseWriter, _ *http.Request) {
	a.requestDrain()
	w.WriteHeader(http.StatusAccepted)
}
