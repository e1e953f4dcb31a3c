// Package operatorapi is the HTTP edge towards operators' commands.
package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strings"

	"ironhollow/pkg/code"
	"ironhollow/pkg/config"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/operatorapi/operatorwire"
)

// maxApply bounds the body of an apply, in bytes.
const maxApply = 8 << 20

// API serves operators.
type API struct {
	store     *config.Store
	holder    *config.Holder
	keys      []string
	onApplied func(context.Context)
}

// New returns the edge. keys are the SHA-256 of the operators' bearer keys;
// without any only the loopback is let in.
func New(store *config.Store, holder *config.Holder, keys []string) *API {
	return &API{store: store, holder: holder, keys: keys, onApplied: func(context.Context) {}}
}

// OnApplied sets what is called once a revision is written.
func (a *API) OnApplied(call func(context.Context)) { a.onApplied = call }

// Register serves the edge on a mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.Handle("GET /v1/config", a.Guarded(a.serveGet))
	mux.Handle("POST /v1/config", a.Guarded(a.serveApply))
}

// Guarded lets operators in and nobody else.
func (a *API) Guarded(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.mayOperate(r) {
			writeError(w, code.New(code.UnknownKey, "no operator has this key"))
			return
		}
		next(w, r)
	})
}

func (a *API) mayOperate(r *http.Request) bool {
	if len(a.keys) == 0 {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		ip := net.ParseIP(host)
		return err == nil && ip != nil && ip.IsLoopback()
	}
	sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	given := []byte(hex.EncodeToString(sum[:]))
	found := 0
	for _, key := range a.keys {
		// Every key is compared, in constant time.
		found |= subtle.ConstantTimeCompare(given, []byte(key))
	}
	return found == 1
}

// serveGet shows the revision in the store, so that an apply that follows sees
// the latest; with the store down it shows the one in force here, and says so.
func (a *API) serveGet(w http.ResponseWriter, r *http.Request) {
	holder := config.NewHolder()
	if err := a.store.Load(r.Context(), holder); err != nil {
		holder = a.holder
		w.Header().Set("Ironhollow-Stale", "true")
	}
	sections, revision := holder.Sections()
	httpx.WriteJSON(w, http.StatusOK, operatorwire.Config{Revision: revision, Sections: operatorwire.FromSections(sections)})
}

func (a *API) serveApply(w http.ResponseWriter, r *http.Request) {
	var sent operatorwire.Apply
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApply))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&sent); err != nil {
		writeError(w, code.New(code.BadBody, err.Error()))
		return
	}
	if sent.Request == "" || sent.Seen < 0 {
		writeError(w, code.New(code.BadBody, "request and seen are needed"))
		return
	}
	sections := make([]fleet.Section, len(sent.Sections))
	for i, s := range sent.Sections {
		sections[i] = fleet.NewSection(s.Kind, s.Name, s.Body)
	}
	fleet.Sort(sections)
	revision, err := a.store.Publish(r.Context(), sent.Seen, sent.Request, sections)
	if err != nil {
		writeError(w, err)
		return
	}
	go a.onApplied(context.WithoutCancel(r.Context()))
	httpx.WriteJSON(w, http.StatusOK, operatorwire.Applied{Revision: revision})
}

func writeError(w http.ResponseWriter, err error) {
	c := code.Of(err)
	httpx.WriteJSON(w, c.Status(), operatorwire.Error{
		Number: c.Number(), Code: c.Name(), Outcome: string(c.Outcome()), Message: err.Error(),
	})
}
