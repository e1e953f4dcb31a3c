package entry

import "ironhollow/pkg/membership"

// recoveryState is how far this node has taken over the jobs of its earlier incarnations.
type recoveryState int

const (
	recoveryPending recoveryState = iota
	// recoveryFailed means that an attempt failed, and was logged. Another one follows.
	recoveryFailed
	recoveryDone
)

// wasRecovered reports whether an incarnation of a node is known to own no more jobs.
func (a *App) wasRecovered(id string, incarnation int64) bool {
	a.recoveredMu.Lock()
	defer a.recoveredMu.Unlock()
	return a.recovered[membership.OwnerOf(id, incarnation)]
}

func (a *App) markRecovered(id string, incarnation int64) {
	a.recoveredMu.Lock()
	defer a.recoveredMu.Unlock()
	a.recovered[membership.OwnerOf(id, incarnation)] = true
}
