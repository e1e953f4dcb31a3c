package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/roster"
)

// Guards against datagrams that grow with the number of a host's teams until they are too long to
// be decoded and the host is considered dead.
func TestHostWithManyTeamsStaysLive(t *testing.T) {
	const (
		teams  = 333
		window = 7
	)
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	self := host(0, 800)
	update := gossip.Update{Status: roster.Status{Host: self, Loads: []roster.Load{{Endpoint: "e1", Running: 3}}}}
	for i := range teams {
		team := fmt.Sprintf("team-number-%d", i)
		update.Counts = append(update.Counts, roster.RequestCount{Window: window, Team: team, Started: i + 1})
		update.TeamUsage = append(update.TeamUsage, limit.TeamUsage{Team: team, Admitted: float64(i + 1), Synced: true})
	}
	usage, counts := map[string]float64{}, map[string]int{}
	isLive := false
	runUntil(t, self, members, update, func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		for _, got := range other.got {
			isLive = isLive || got.Node == self.Node && len(got.Loads) == 1
			for _, s := range got.TeamUsage {
				usage[s.Team] = s.Admitted
			}
			for _, c := range got.Counts {
				counts[c.Team] = c.Started
			}
		}
		return isLive && len(usage) == teams && len(counts) == teams
	})
	if !isLive {
		t.Error("status of a host with many teams: got none, want one with its load")
	}
	if got, want := [2]int{len(usage), len(counts)}, [2]int{teams, teams}; got != want {
		t.Errorf("number of teams with received usage and with received counts: got %v, want %v", got, want)
	}
	for _, i := range []int{0, teams - 1} {
		team := fmt.Sprintf("team-number-%d", i)
		if usage[team] != float64(i+1) || counts[team] != i+1 {
			t.Errorf("%s: got %v admitted and %d started, want %d for both", team, usage[team], counts[team], i+1)
		}
	}
}
