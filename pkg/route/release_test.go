package route_test

import (
	"fmt"
	"testing"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

// Guards against entries of a large fleet that use no endpoint of a release that few endpoints run.
func TestSubsetHasEachRelease(t *testing.T) {
	var infos []endpoint.Info
	for i := range 3000 {
		e := endpoint.Info{ID: fmt.Sprint("e", i), State: endpoint.Live, Kind: endpoint.Plain, Service: "svc", Release: "v1"}
		if i%1000 == 0 {
			e.Release = "v2"
		}
		infos = append(infos, e)
	}
	for n := range 20 {
		rare := 0
		for _, e := range route.Subset(fmt.Sprint("n", n), 985, infos) {
			if e.Release == "v2" {
				rare++
			}
		}
		if rare != 3 {
			t.Errorf("entry %d: got %d endpoints of the rare release, want 3", n, rare)
		}
	}
}
