package callerapi

import (
	"net/http"

	"github.com/urfave/negroni/v3"

	"ironhollow/pkg/httpx"
)

const (
	headerTransferEncoding = "Transfer-Encoding"
	// encodingIdentity as the Transfer-Encoding makes the HTTP server add neither a length nor chunks,
	// so that the response ends with the connection. It is not sent.
	encodingIdentity = "identity"
)

// leaveEndUnmarked makes a response end with the caller's connection. It is for responses whose end
// the endpoint did not mark: a length or a last chunk would state that they are complete.
func leaveEndUnmarked(h http.Header) {
	h.Del("Content-Length")
	h.Set(headerTransferEncoding, encodingIdentity)
}

// endsWithConnection reports whether a response with the given headers ends with the caller's
// connection. HTTP/1.0 has no chunks.
func endsWithConnection(h http.Header, r *http.Request) bool {
	return h.Get(headerTransferEncoding) == encodingIdentity || !r.ProtoAtLeast(1, 1) && h.Get("Content-Length") == ""
}

// resetIncomplete makes the caller's connection end with a reset if a response that ends with the
// connection is incomplete, also if this process ends. An ordinary close would look like the end of
// the response.
func (a *API) resetIncomplete(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	endsByClose := false
	if hooked, ok := w.(negroni.ResponseWriter); ok {
		hooked.Before(func(started negroni.ResponseWriter) {
			if endsWithConnection(started.Header(), r) {
				endsByClose = true
				a.setResetOnClose(r, true)
			}
		})
	}
	isSent := false
	defer func() {
		switch {
		case !endsByClose:
		case isSent:
			a.setResetOnClose(r, false)
		default:
			if err := httpx.Reset(r.Context()); err != nil {
				a.Log.Debug().Err(err).Msg("failed to reset the caller's connection")
			}
		}
	}()
	next(w, r)
	if !endsByClose {
		return
	}
	// Data that is still buffered in this process would be missing if the process ended before it
	// is sent.
	err := http.NewResponseController(w).Flush()
	if err != nil {
		a.Log.Debug().Err(err).Msg("failed to send the end of a response")
	}
	isSent = err == nil
}

func (a *API) setResetOnClose(r *http.Request, reset bool) {
	if err := httpx.ResetOnClose(r.Context(), reset); err != nil {
		a.Log.Error().Err(err).Bool("reset", reset).Msg("failed to set how the caller's connection is closed")
	}
}
