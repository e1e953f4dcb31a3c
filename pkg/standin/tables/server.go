package tables

import (
	"encoding/json"
	"net/http"
	"strconv"

	"ironhollow/pkg/table"
	"ironhollow/pkg/table/tablehttp"
)

// Register adds handlers for the table service's protocol to mux.
func (s *Store) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+tablehttp.PathCommit, s.serveCommit)
	mux.HandleFunc("GET "+tablehttp.PathRow, s.serveRow)
	mux.HandleFunc("GET "+tablehttp.PathRows, s.serveRows)
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var request tablehttp.Commit
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Writes) == 0 {
		http.Error(w, "bad commit", http.StatusBadRequest)
		return
	}
	switch outcome := s.Commit(r.Context(), request.TableCommit()).(type) {
	case table.Committed:
		writeJSON(w, http.StatusOK, tablehttp.Result{Version: outcome.Version})
	case table.Refused:
		if len(outcome.Conflicts) == 0 {
			http.Error(w, "turned away", http.StatusTooManyRequests)
			return
		}
		writeJSON(w, http.StatusConflict, tablehttp.Result{Conflicts: tablehttp.FromRows(outcome.Conflicts)})
	default:
		// Closes the connection, so that the caller cannot know the outcome.
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) serveRow(w http.ResponseWriter, r *http.Request) {
	row, ok, err := s.Get(r.Context(), r.URL.Query().Get("key"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !ok:
		http.Error(w, "no such row", http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, tablehttp.FromRow(row))
	}
}

func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	rows, err := s.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, tablehttp.Rows{Rows: tablehttp.FromRows(rows)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
