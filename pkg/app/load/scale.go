package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ironhollow/pkg/app/standin"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/measure"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/operatorclient"
	"ironhollow/pkg/standin/clouds"
)

// scalePoint holds the measurements at one fleet size. Rates are per second.
type scalePoint struct {
	Nodes     int `json:"nodes"`
	Endpoints int `json:"endpoints"`
	// CPU is in percent of one core, memory in MB; both are means per process.
	EntryCPUPercent   float64 `json:"entry_cpu_percent"`
	EntryMemoryMB     float64 `json:"entry_memory_mb"`
	ControlCPUPercent float64 `json:"control_cpu_percent"`
	ControlMemoryMB   float64 `json:"control_memory_mb"`
	// WireBytesPerNode is all traffic of the fleet, headers of all layers
	// included, divided by the number of nodes. PeerBytesPerNode is the part
	// of it that consists of messages between the system's own processes.
	WireBytesPerNode    float64 `json:"wire_bytes_per_node"`
	PeerBytesPerNode    float64 `json:"peer_bytes_per_node"`
	PeerMessagesPerNode float64 `json:"peer_messages_per_node"`
	StoreCommits        float64 `json:"store_commits"`
	StoreReads          float64 `json:"store_reads"`
	// The next three are in seconds: the time until every entry has the change,
	// and until other control processes hold the shards of a killed one.
	LeavingPropagation  float64 `json:"leaving_known_s"`
	RevisionPropagation float64 `json:"revision_known_s"`
	ShardTakeover       float64 `json:"take_over_s"`
	// Suspected and FalselyDeclaredDead count the verdicts of the failure detector
	// when entry processes are paused for 1.5 s and then resumed.
	Suspected           int64 `json:"suspected"`
	FalselyDeclaredDead int64 `json:"wrongly_dead"`
}

// scaleBenchmark measures a running fleet of one size.
type scaleBenchmark struct {
	admins, controls, controlAdmins            []string
	entryPIDs, controlPIDs                     []int
	platform, reclaimHost, configFile, outPath string
	settleTime, measureWindow                  time.Duration
	// minEndpoints is the number of endpoints that every entry must know before
	// the measurement starts.
	minEndpoints int
	http         *http.Client
}

func scaleCommand() *cobra.Command {
	s := scaleBenchmark{http: httpx.NewClient(2)}
	command := &cobra.Command{
		Use:   "scale",
		Short: "Measure a running fleet and append a line to a file",
		RunE: func(command *cobra.Command, _ []string) error {
			point, err := s.measure(command.Context())
			if err != nil {
				return err
			}
			return appendLine(s.outPath, point)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&s.admins, "admins", nil, "admin addresses of the entries")
	flags.IntSliceVar(&s.entryPIDs, "entry-pids", nil, "process ids of the entries")
	flags.StringSliceVar(&s.controls, "controls", nil, "operator addresses of the controls")
	flags.StringSliceVar(&s.controlAdmins, "control-admins", nil, "admin addresses of the controls")
	flags.IntSliceVar(&s.controlPIDs, "control-pids", nil, "process ids of the controls")
	flags.StringVar(&s.platform, "platform", "", "address of the platform stand-in")
	flags.StringVar(&s.reclaimHost, "victim", "", "host to reclaim")
	flags.StringVar(&s.configFile, "config", "", "configuration to apply with a small change")
	flags.StringVar(&s.outPath, "out", "", "file to append to")
	flags.IntVar(&s.minEndpoints, "endpoints", 1, "endpoints that must be known")
	flags.DurationVar(&s.settleTime, "settle", 20*time.Second, "time before measuring")
	flags.DurationVar(&s.measureWindow, "window", 20*time.Second, "time measured")
	return command
}

func appendLine(path string, value any) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(file).Encode(value); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}

func (s *scaleBenchmark) measure(ctx context.Context) (scalePoint, error) {
	point := scalePoint{Nodes: len(s.admins)}
	if err := s.awaitMembership(ctx); err != nil {
		return point, err
	}
	time.Sleep(s.settleTime)
	if err := s.awaitAll(ctx, time.Minute, "endpoints are known", func(st operatorwire.EntryStatus) bool {
		point.Endpoints = len(st.Endpoints)
		return len(st.Endpoints) >= s.minEndpoints
	}); err != nil {
		return point, err
	}
	steps := []func(context.Context, *scalePoint) error{s.measureIdle, s.measureLeavingPropagation, s.measureRevisionPropagation, s.measureFalsePositives, s.measureShardTakeover}
	for _, step := range steps {
		if err := step(ctx, &point); err != nil {
			return point, err
		}
	}
	return point, nil
}

// awaitMembership waits until every entry sees all nodes alive with their
// control processes, has a configuration and knows an endpoint.
func (s *scaleBenchmark) awaitMembership(ctx context.Context) error {
	return s.awaitAll(ctx, 2*time.Minute, "the fleet has formed", func(st operatorwire.EntryStatus) bool {
		alive := 0
		for _, n := range st.Nodes {
			if n.Status == "alive" && n.Control {
				alive++
			}
		}
		return alive == len(s.admins) && st.Revision > 0 && len(st.Endpoints) > 0
	})
}

// awaitAll waits until satisfied has returned true for the status of every entry.
func (s *scaleBenchmark) awaitAll(ctx context.Context, timeout time.Duration, description string, satisfied func(operatorwire.EntryStatus) bool) error {
	start := time.Now()
	pending := append([]string(nil), s.admins...)
	for len(pending) > 0 {
		var remaining []string
		for _, admin := range pending {
			var status operatorwire.EntryStatus
			err := httpx.CallJSON(ctx, s.http, http.MethodGet, "http://"+admin+"/status", nil, &status)
			if err != nil || !satisfied(status) {
				remaining = append(remaining, admin)
			}
		}
		pending = remaining
		if time.Since(start) > timeout {
			return fmt.Errorf("not within %v: %s (%d entries left)", timeout, description, len(pending))
		}
		if len(pending) > 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// snapshot holds the values of the counters at one moment.
type snapshot struct {
	at                         time.Time
	entryCPU, controlCPU       time.Duration
	entryMemory, controlMemory int64
	loopbackBytes              int64
	peerBytes, peerMessages    float64
	store                      standin.StoreCounts
}

func (s *scaleBenchmark) snapshot(ctx context.Context) (snapshot, error) {
	shot := snapshot{at: time.Now()}
	var err error
	if shot.loopbackBytes, err = measure.LoopbackBytes(); err != nil {
		return shot, err
	}
	if shot.entryCPU, shot.entryMemory, err = totalUsage(s.entryPIDs); err != nil {
		return shot, err
	}
	if shot.controlCPU, shot.controlMemory, err = totalUsage(s.controlPIDs); err != nil {
		return shot, err
	}
	return shot, httpx.CallJSON(ctx, s.http, http.MethodGet, "http://"+s.platform+"/standin/counts", nil, &shot.store)
}

// addPeerCounters adds up the peer counters of all processes. Reading them causes
// traffic, so it is done outside the measurement window.
func (s *scaleBenchmark) addPeerCounters(ctx context.Context, shot *snapshot) error {
	for _, admin := range append(append([]string(nil), s.admins...), s.controlAdmins...) {
		counters, err := measure.Counters(ctx, s.http, admin)
		if err != nil {
			return err
		}
		shot.peerBytes += counters["ironhollow_peer_sent_bytes_total"]
		shot.peerMessages += counters["ironhollow_peer_sent_messages_total"]
	}
	return nil
}

func totalUsage(pids []int) (time.Duration, int64, error) {
	var cpu time.Duration
	var memory int64
	for _, pid := range pids {
		usage, err := measure.ProcessUsage(pid)
		if err != nil {
			return 0, 0, err
		}
		cpu += usage.CPU
		memory += usage.ResidentBytes
	}
	return cpu, memory, nil
}

// measureIdle measures CPU, memory, traffic and store calls of a fleet without callers.
func (s *scaleBenchmark) measureIdle(ctx context.Context, point *scalePoint) error {
	var peersBefore, peersAfter snapshot
	if err := s.addPeerCounters(ctx, &peersBefore); err != nil {
		return err
	}
	peersStart := time.Now()
	before, err := s.snapshot(ctx)
	if err != nil {
		return err
	}
	time.Sleep(s.measureWindow)
	after, err := s.snapshot(ctx)
	if err != nil {
		return err
	}
	if err := s.addPeerCounters(ctx, &peersAfter); err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	peerSeconds := time.Since(peersStart).Seconds()
	nodes := float64(point.Nodes)
	const bytesPerMB = 1 << 20
	point.EntryCPUPercent = 100 * (after.entryCPU - before.entryCPU).Seconds() / seconds / nodes
	point.ControlCPUPercent = 100 * (after.controlCPU - before.controlCPU).Seconds() / seconds / nodes
	point.EntryMemoryMB = float64(after.entryMemory) / bytesPerMB / nodes
	point.ControlMemoryMB = float64(after.controlMemory) / bytesPerMB / nodes
	point.WireBytesPerNode = float64(after.loopbackBytes-before.loopbackBytes) / seconds / nodes
	point.PeerBytesPerNode = (peersAfter.peerBytes - peersBefore.peerBytes) / peerSeconds / nodes
	point.PeerMessagesPerNode = (peersAfter.peerMessages - peersBefore.peerMessages) / peerSeconds / nodes
	point.StoreCommits = float64(after.store.Commits-before.store.Commits) / seconds
	point.StoreReads = float64(after.store.Gets+after.store.Lists-before.store.Gets-before.store.Lists) / seconds
	return nil
}

// measureLeavingPropagation reclaims a host and measures the time until every
// entry knows that its endpoint is leaving.
func (s *scaleBenchmark) measureLeavingPropagation(ctx context.Context, point *scalePoint) error {
	start := time.Now()
	reclaimRequest := clouds.ReclaimRequest{Host: s.reclaimHost, NoticeMS: 30_000}
	if err := httpx.CallJSON(ctx, s.http, http.MethodPost, "http://"+s.platform+"/standin/reclaim", reclaimRequest, nil); err != nil {
		return err
	}
	err := s.awaitAll(ctx, time.Minute, "all know the leaving endpoint", func(st operatorwire.EntryStatus) bool {
		for _, e := range st.Endpoints {
			if e.Endpoint == s.reclaimHost {
				return e.State != "live"
			}
		}
		return false
	})
	point.LeavingPropagation = time.Since(start).Seconds()
	return err
}

// measureRevisionPropagation applies a configuration and measures the time until
// it is in force at every entry.
func (s *scaleBenchmark) measureRevisionPropagation(ctx context.Context, point *scalePoint) error {
	client, err := operatorclient.New(s.controls, "", "")
	if err != nil {
		return err
	}
	current, _, err := client.Config(ctx)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(s.configFile)
	if err != nil {
		return err
	}
	data = append(data, []byte(fmt.Sprintf("\n[team added-%d]\nkeys = %064x\nrate = 1\n", current, current+1))...)
	sections, err := fleet.Parse(s.configFile, data)
	if err != nil {
		return err
	}
	start := time.Now()
	revision, err := client.Apply(ctx, current, sections)
	if err != nil {
		return err
	}
	err = s.awaitAll(ctx, time.Minute, "the revision is in force", func(st operatorwire.EntryStatus) bool { return st.Revision >= revision })
	point.RevisionPropagation = time.Since(start).Seconds()
	return err
}

// Number of entries to pause, at most, and the length of the pause.
const (
	maxPausedEntries = 3
	pauseDuration    = 1500 * time.Millisecond
)

// measureFalsePositives pauses some entries and counts how often entries are
// suspected or declared dead meanwhile and in the 5 s after.
func (s *scaleBenchmark) measureFalsePositives(ctx context.Context, point *scalePoint) error {
	suspectedBefore, deadBefore, err := s.failureDetectorCounts(ctx)
	if err != nil {
		return err
	}
	paused := s.entryPIDs[:min(maxPausedEntries, len(s.entryPIDs)-1)]
	for _, pid := range paused {
		if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	time.Sleep(pauseDuration)
	for _, pid := range paused {
		if err := syscall.Kill(pid, syscall.SIGCONT); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	suspected, dead, err := s.failureDetectorCounts(ctx)
	point.Suspected = suspected - suspectedBefore
	point.FalselyDeclaredDead = dead - deadBefore
	return err
}

func (s *scaleBenchmark) failureDetectorCounts(ctx context.Context) (suspected, dead int64, err error) {
	for _, admin := range s.admins {
		var status operatorwire.EntryStatus
		if err := httpx.CallJSON(ctx, s.http, http.MethodGet, "http://"+admin+"/status", nil, &status); err != nil {
			return 0, 0, err
		}
		suspected += status.Suspected
		dead += status.DeclaredDead
	}
	return suspected, dead, nil
}

// measureShardTakeover kills one control process and measures the time until
// others hold its shards.
func (s *scaleBenchmark) measureShardTakeover(ctx context.Context, point *scalePoint) error {
	shards := map[int]bool{}
	holder := -1
	for i := range s.controls {
		held, err := s.heldShards(ctx, i)
		if err != nil {
			return err
		}
		if len(held) > 0 {
			holder, shards = i, held
			break
		}
	}
	if holder < 0 {
		return errors.New("no control process holds a shard")
	}
	start := time.Now()
	if err := syscall.Kill(s.controlPIDs[holder], syscall.SIGKILL); err != nil {
		return err
	}
	for time.Since(start) < time.Minute {
		takenOver := map[int]bool{}
		for i := range s.controls {
			if i == holder {
				continue
			}
			held, err := s.heldShards(ctx, i)
			if err != nil {
				return err
			}
			for shard := range held {
				if shards[shard] {
					takenOver[shard] = true
				}
			}
		}
		if len(takenOver) == len(shards) {
			point.ShardTakeover = time.Since(start).Seconds()
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("shards were not taken over within a minute")
}

func (s *scaleBenchmark) heldShards(ctx context.Context, control int) (map[int]bool, error) {
	client, err := operatorclient.New(s.controls[control:control+1], "", "")
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	held := map[int]bool{}
	for _, shard := range status.Shards {
		held[shard.Shard] = true
	}
	return held, nil
}
