package clouds_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ironhollow/pkg/cloud"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/standin/clouds"
)

// Guards against two hosts for one order that is repeated before the first attempt is answered.
func TestRepeatedOrderStartsOneHost(t *testing.T) {
	var started atomic.Int64
	c := clouds.New(0, func(endpoint.Ref, string) {}, func(cloud.Order) (string, bool) {
		started.Add(1)
		time.Sleep(20 * time.Millisecond)
		return "host", true
	})
	mux := http.NewServeMux()
	c.Register(mux)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/orders", strings.NewReader(`{"request":"order-1","data_center":"dc"}`)))
			if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"host"`) {
				t.Errorf("got status %d, %s, want 200 with the host", w.Code, w.Body)
			}
		})
	}
	group.Wait()
	if got := started.Load(); got != 1 {
		t.Errorf("got %d hosts started, want 1", got)
	}
}
