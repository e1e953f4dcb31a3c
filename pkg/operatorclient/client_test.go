package operatorclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ironhollow/pkg/code"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/operatorclient"
)

// startServer starts a control process that handles requests with serve, and returns its address.
func startServer(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func storeDown(w http.ResponseWriter) { writeCode(w, code.StoreDown) }

func writeCode(w http.ResponseWriter, c code.Code) {
	httpx.WriteJSON(w, c.Status(), operatorwire.Error{Number: c.Number(), Code: c.Name(), Outcome: string(c.Outcome())})
}

// Guards against a report that a configuration was not applied, while the server whose
// response was lost has applied it.
func TestApplyRetriesAfterLostResponseAndStoreDown(t *testing.T) {
	firstCalls, requests := 0, map[string]bool{}
	first := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		var request operatorwire.ApplyRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		requests[request.RequestID] = true
		if firstCalls++; firstCalls == 1 {
			panic(http.ErrAbortHandler)
		}
		httpx.WriteJSON(w, http.StatusOK, operatorwire.ApplyResponse{Revision: 8})
	})
	second := startServer(t, func(w http.ResponseWriter, _ *http.Request) { storeDown(w) })
	client, err := operatorclient.New([]string{first, second}, "key", "")
	if err != nil {
		t.Fatal(err)
	}
	if revision, err := client.Apply(context.Background(), 7, nil); revision != 8 || err != nil || len(requests) != 1 {
		t.Errorf("got revision %d, error %v and %d request ids; want revision 8 and one id", revision, err, len(requests))
	}
}

// A server that could not be reached has applied nothing, so that StoreDown of another one is final.
func TestStoreDownIsFinalAfterFailedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	_ = listener.Close()
	calls := 0
	up := startServer(t, func(w http.ResponseWriter, _ *http.Request) { calls++; storeDown(w) })
	client, err := operatorclient.New([]string{closed, up}, "key", "")
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Apply(context.Background(), 7, nil)
	if serverError, ok := err.(*operatorclient.Error); !ok || serverError.Number() != code.StoreDown.Number() || calls != 1 {
		t.Errorf("got error %v after %d calls, want StoreDown after 1", err, calls)
	}
}

// Guards against a report that a configuration was not applied, because a server without the operator's key answered after a response was lost.
func TestApplyRetriesAfterLostResponseAndUnknownKey(t *testing.T) {
	firstCalls := 0
	first := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if firstCalls++; firstCalls == 1 {
			panic(http.ErrAbortHandler)
		}
		httpx.WriteJSON(w, http.StatusOK, operatorwire.ApplyResponse{Revision: 8})
	})
	second := startServer(t, func(w http.ResponseWriter, _ *http.Request) { writeCode(w, code.UnknownKey) })
	client, err := operatorclient.New([]string{first, second}, "key", "")
	if err != nil {
		t.Fatal(err)
	}
	if revision, err := client.Apply(context.Background(), 7, nil); revision != 8 || err != nil {
		t.Errorf("got revision %d, error %v; want revision 8", revision, err)
	}
}

// Guards against an error of a server whose outcome is unknown that is reported as final.
func TestApplyRetriesAfterInternalError(t *testing.T) {
	calls := 0
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls == 1 {
			writeCode(w, code.Internal)
			return
		}
		httpx.WriteJSON(w, http.StatusOK, operatorwire.ApplyResponse{Revision: 8})
	})
	client, err := operatorclient.New([]string{server}, "key", "")
	if err != nil {
		t.Fatal(err)
	}
	if revision, err := client.Apply(context.Background(), 7, nil); revision != 8 || err != nil {
		t.Errorf("got revision %d, error %v; want revision 8", revision, err)
	}
}

// Guards against an interrupted apply that is reported as if nothing had been applied.
func TestInterruptedApplyIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	server := startServer(t, func(http.ResponseWriter, *http.Request) {
		cancel()
		panic(http.ErrAbortHandler)
	})
	client, err := operatorclient.New([]string{server}, "key", "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Apply(ctx, 7, nil); !errors.Is(err, context.Canceled) || !strings.Contains(err.Error(), "not known") {
		t.Errorf("got error %v, want a cancellation with an outcome that is not known", err)
	}
}
