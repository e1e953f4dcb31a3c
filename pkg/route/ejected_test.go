package route_test

import (
	"testing"

	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
)

// Guards against refusing a stream because both endpoints of its release are ejected while most others
// are not.
func TestEjectedEndpointsOfTheOnlyReleaseAreUsed(t *testing.T) {
	r, directory, _ := newRouter(10)
	for e := range 2 {
		changed := info(e)
		changed.Release, changed.Counter = "v2", changed.Counter+1
		directory.Merge(changed)
		failAt(r, e, 3, now)
	}
	pinned := query()
	pinned.Rule = rollout.Rule{OnlyRelease: "v2", IsPinned: true}
	if choice, ok := r.Choose(pinned, route.Expected, now); !ok || choice.Endpoint.Release != "v2" {
		t.Errorf("got %v at release %q, want an endpoint of v2", ok, choice.Endpoint.Release)
	}
	if choice, ok := r.Choose(query(), route.Expected, now); !ok || choice.Endpoint.Release == "v2" {
		t.Errorf("new request: got %v at release %q, want another release", ok, choice.Endpoint.Release)
	}
}
