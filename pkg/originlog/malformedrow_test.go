package originlog_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/originlog"
	"ironhollow/pkg/standin/malformedrows"
	"ironhollow/pkg/table"
)

// Guards against streams that can never be resumed again from the store because another writer left a row among
// those of the hosts.
func TestMalformedRowDoesNotHideOriginsForever(t *testing.T) {
	values, err := malformedrows.CBOR(map[int]any{1: 1000, 2: []any{[]any{"route", "svc", "v1", 1000}}, 3: []any{[]any{other[:], 0, 1000}}})
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(values, malformedrows.Values())
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				several, one := newFleet(t, v("v1"), v("v2")), newFleet(t, v("v1"))
				for _, f := range []*fleet{several, one} {
					write := table.Write{Key: originlog.Table + "/malformed", Value: value, If: table.Always{}}
					table.NewWriter(f.store, "other").Commit(t.Context(), write)
					f.addAt("a", key, v("v1"))
				}
				several.expect(key, v("v1"), true)
				running, _ := one.start("a")
				finder, _ := one.start("b")
				finder.Find(t.Context(), []origin.Key{other}, "route")
				time.Sleep(2 * time.Minute)
				running.Add(key, "route", v("v1"), life)
				time.Sleep(writeTime)
				finder.Find(t.Context(), []origin.Key{other}, "route")
				time.Sleep(time.Second)
				if got, ok := finder.Find(t.Context(), []origin.Key{other}, "route"); !ok || got != v("v1") {
					t.Errorf("stream that no row names, two minutes later: got %v, %v, want the only source, v1", got, ok)
				}
				one.expect(other, v("v1"), true)
			})
		})
	}
}
