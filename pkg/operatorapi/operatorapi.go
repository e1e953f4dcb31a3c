// Package operatorapi serves the HTTP API for the operators' commands.
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

// maxApplyBytes is the maximum size of the body of an apply request.
const maxApplyBytes = 8 << 20

// API serves the HTTP API for operators.
type API struct {
	store     *config.Store
	holder    *config.Holder
	keyHashes []string
	onApplied func(context.Context)
}

// New returns the API. keyHashes contains the SHA-256 of each operator's bearer key. If it is
// empty, only requests from the loopback interface are allowed.
func New(store *config.Store, holder *config.Holder, keyHashes []string) *API {
	return &API{store: store, holder: holder, keyHashes: keyHashes, onApplied: func(context.Context) {}}
}

// OnApplied sets the function that is called after a revision has been written.
func (a *API) OnApplied(callback func(context.Context)) { a.onApplied = callback }

// Register registers the API's routes on mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.Handle("GET /v1/config", a.RequireOperator(a.serveGet))
	mux.Handle("POST /v1/config", a.RequireOperator(a.serveApply))
}

// RequireOperator wraps next so that it rejects requests that do not come from an operator.
func (a *API) RequireOperator(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.isAuthorized(r) {
			writeError(w, code.New(code.UnknownKey, "no operator has this key"))
			return
		}
		next(w, r)
	})
}

func (a *API) isAuthorized(r *http.Request) bool {
	if len(a.keyHashes) == 0 {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		ip := net.ParseIP(host)
		return err == nil && ip != nil && ip.IsLoopback()
	}
	sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	keyHash := []byte(hex.EncodeToString(sum[:]))
	matched := 0
	for _, key := range a.keyHashes {
		// All keys are compared, each in constant time, so that the duration reveals nothing about them.
		matched |= subtle.ConstantTimeCompare(keyHash, []byte(key))
	}
	return matched == 1
}

// serveGet returns the latest revision from the store, so that a subsequent apply is based on it.
// If the store is down, it returns the revision in force in this process and sets Ironhollow-Stale.
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
	var request operatorwire.ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeError(w, code.New(code.BadBody, err.Error()))
		return
	}
	if request.RequestID == "" || request.SeenRevision < 0 {
		writeError(w, code.New(code.BadBody, "request and seen are needed"))
		return
	}
	sections := make([]fleet.Section, len(request.Sections))
	for i, s := range request.Sections {
		sections[i] = fleet.NewSection(s.Kind, s.Name, s.Body)
	}
	fleet.Sort(sections)
	revision, err := a.store.Publish(r.Context(), request.SeenRevision, request.RequestID, sections)
	if err != nil {
		writeError(w, err)
		return
	}
	go a.onApplied(context.WithoutCancel(r.Context()))
	httpx.WriteJSON(w, http.StatusOK, operatorwire.ApplyResponse{Revision: revision})
}

func writeError(w http.ResponseWriter, err error) {
	c := code.Of(err)
	httpx.WriteJSON(w, c.Status(), operatorwire.Error{
		Number: c.Number(), Code: c.Name(), Outcome: string(c.Outcome()), Message: err.Error(),
	})
}
