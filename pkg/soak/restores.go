package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ironhollow/platform/standin"
)

// Timing of a run in which the store is restored from backups.
const (
	// stepPause is the time between the steps of a restore: backing up the store, changing the
	// configuration, taking the store down and restoring it.
	stepPause = 500 * time.Millisecond
	// reissueTime is how long the store stays down after a restore while endpoints write, so that
	// its version numbers exceed those that hosts have seen.
	reissueTime = 3 * time.Second
	// applyTime is how long hosts may take to apply a configuration once the store is up again.
	applyTime = 3 * time.Second
	// minBackupAge and mostBackupAge bound the age of a randomly chosen backup when the store is
	// taken down.
	minBackupAge = 500 * time.Millisecond
	maxBackupAge = 3 * time.Second
)

// RestoresOutcome is the state of hosts after restores of the store.
type RestoresOutcome struct {
	// Outdated describes each host that did not apply the newest configuration within the time
	// allowed.
	Outdated []string
}

// RunRestores restores the store from a backup several times and each time writes a configuration
// before the store is up again. After every second restore the store stays down longer, so that it
// reissues the version numbers that hosts have seen.
func RunRestores(ctx context.Context, o Options, restores int) (Outcome, RestoresOutcome, error) {
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, RestoresOutcome{}, err
	}
	stopCallers := r.startCallers(ctx)
	var restored RestoresOutcome
	for i := range restores {
		r.wait(ctx, warmUpTime)
		backup := r.store.Backup()
		r.wait(ctx, stepPause)
		r.reconfigure()
		r.wait(ctx, stepPause)
		outage := time.Duration(i%2) * reissueTime
		r.restore(ctx, backup, outage, r.reconfigure)
		r.wait(ctx, applyTime)
		restored.Outdated = append(restored.Outdated, r.outdated(ctx)...)
	}
	r.checkRecovery(ctx)
	stopCallers()
	r.checkInvariants()
	return r.outcome(), restored, ctx.Err()
}

// restore takes the store down, restores it from a backup, calls write, and keeps the store down for
// the given outage.
func (r *run) restore(ctx context.Context, backup standin.Backup, outage time.Duration, write func()) {
	before, _ := r.store.Version()
	r.markAllFaulty(stepPause + outage + residualEffectTime)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	r.wait(ctx, stepPause)
	r.store.Restore(backup)
	write()
	r.wait(ctx, outage)
	after, era := r.store.Version()
	r.log("store restored from a backup: era %d, version %d, %d before the restore", era, after, before)
	r.store.SetFaults(standin.StoreFaults{})
}

// reconfigure writes the next configuration to the store.
func (r *run) reconfigure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion++
	if err := standin.PutConfiguration(r.store, r.configVersion, r.configVersion); err != nil {
		r.report.addViolation("configuration: %v", err)
	}
}

// outdated describes each host that lacks routes of the newest configuration or still serves routes
// of the previous one.
func (r *run) outdated(ctx context.Context) []string {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var hosts []string
	for _, n := range r.nodes {
		added, errAdded := r.probe(ctx, client, n, r.configVersion)
		removed, errRemoved := r.probe(ctx, client, n, r.configVersion-1)
		if added != http.StatusOK || removed != http.StatusNotFound {
			hosts = append(hosts, fmt.Sprintf("%s: added route %d %v, removed route %d %v", n.settings.Name, added, errAdded, removed, errRemoved))
		}
	}
	return hosts
}

// probe sends a request to a host on a route of the given generation and returns the status.
func (r *run) probe(ctx context.Context, client *http.Client, n *node, generation int) (int, error) {
	request, err := standin.NewRequest(n.settings.Callers, standin.Safe, fmt.Sprintf("probe-%s-%d-%d", n.settings.Name, generation, time.Now().UnixNano()), "")
	if err != nil {
		return 0, err
	}
	request.URL.Path = fmt.Sprintf("/g%d%s", generation, request.URL.Path)
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

const (
	// restoreStream is the stream of random numbers that determines the restores of a run.
	restoreStream = 1 << 35
	// maxRestores is the maximum number of restores in a run.
	maxRestores = 2
)

// startRestores schedules a random number of restores of the store from backups. It uses a separate
// random number generator, so that restores do not change the other faults of a seed.
func (r *run) startRestores(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, restoreStream))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	restores := random.IntN(maxRestores + 1)
	var restoring sync.Mutex
	for range restores {
		after, age := upTo(r.options.Length), minBackupAge+upTo(maxBackupAge-minBackupAge)
		r.schedule(after, func() {
			restoring.Lock()
			defer restoring.Unlock()
			backup := r.store.Backup()
			r.wait(ctx, age)
			r.restore(ctx, backup, 0, func() {})
		})
	}
}
