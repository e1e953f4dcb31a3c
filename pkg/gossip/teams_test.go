package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/roster"
)

// Guards against datagrams that grow with a host's teams until they are too long to be decoded
// and the host counts as dead.
func TestHostWithManyTeamsIsSeen(t *testing.T) {
	const (
		teams  = 333
		window = 7
	)
	other := listen(t, host(1, 400))
	members := roster.New(silence, gossip.Interval)
	members.NoteStoreResponse(time.Now())
	members.ApplyStatus(roster.Status{Host: other.host, Sequence: 1}, time.Now())
	self := host(0, 800)
	told := gossip.Update{Status: roster.Status{Host: self, Loads: []roster.Load{{Endpoint: "e1", Running: 3}}}}
	for i := range teams {
		team := fmt.Sprintf("team-number-%d", i)
		told.Counts = append(told.Counts, roster.RequestCount{Window: window, Team: team, Started: i + 1})
		told.TeamUsage = append(told.TeamUsage, limit.TeamUsage{Team: team, Admitted: float64(i + 1), Synced: true})
	}
	spent, counts := map[string]float64{}, map[string]int{}
	lives := false
	runUntil(t, self, members, told, func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		for _, got := range other.got {
			lives = lives || got.Node == self.Node && len(got.Loads) == 1
			for _, s := range got.TeamUsage {
				spent[s.Team] = s.Admitted
			}
			for _, c := range got.Counts {
				counts[c.Team] = c.Started
			}
		}
		return lives && len(spent) == teams && len(counts) == teams
	})
	if !lives {
		t.Error("host that serves many teams: got not heard, want heard")
	}
	if got, want := [2]int{len(spent), len(counts)}, [2]int{teams, teams}; got != want {
		t.Errorf("teams of which limits and counts were heard: got %v, want %v", got, want)
	}
	for _, i := range []int{0, teams - 1} {
		team := fmt.Sprintf("team-number-%d", i)
		if spent[team] != float64(i+1) || counts[team] != i+1 {
			t.Errorf("%s: got %v admitted, %d begun, want %d of both", team, spent[team], counts[team], i+1)
		}
	}
}
