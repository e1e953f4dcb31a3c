package services

import (
	"bytes"
	"io"
	"net/http"
)

// Passthrough returns a minimal proxy that copies requests and responses to and from target
// without any checks. It is the baseline for measurements of the entry.
func Passthrough(target string, client *http.Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The body is read first: net/http's server closes it once the response
		// begins, which would cut off the outgoing request that still reads it.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		request.Header = r.Header.Clone()
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		controller := http.NewResponseController(w)
		buffer := make([]byte, 32<<10)
		for {
			n, err := response.Body.Read(buffer)
			if n > 0 {
				if _, err := w.Write(buffer[:n]); err != nil {
					return
				}
				_ = controller.Flush()
			}
			if err == io.EOF {
				return
			}
			if err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
}
