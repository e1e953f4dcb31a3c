package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
)

// Guards against a peer that accepts connections but does not answer counting as reached: it would
// never be suspected.
func TestDialWithoutHelloFails(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if socket, err := websocket.Accept(w, r, nil); err == nil {
			_ = socket.CloseNow()
		}
	}))
	defer silent.Close()
	server := peer.NewServer(t.Context(), newMesh("a"), peer.RoleEntry, nil, peer.NewCounters(prometheus.NewRegistry()))
	if server.DialAddress(t.Context(), strings.TrimPrefix(silent.URL, "http://")) {
		t.Error("peer that sends no hello: got true, want false")
	}
	other := httptest.NewServer(peer.NewServer(t.Context(), newMesh("b"), peer.RoleEntry, nil, peer.NewCounters(prometheus.NewRegistry())))
	defer other.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if !server.DialAddress(ctx, strings.TrimPrefix(other.URL, "http://")) {
		t.Error("peer that sends a hello: got false, want true")
	}
}

func newMesh(node string) *peer.Mesh {
	return peer.NewAttached(membership.Node{ID: node, Incarnation: 1}, membership.NewTable(), endpoint.NewDirectory(), config.NewHolder())
}
