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

// scalePoint is what was measured at one size of the fleet. Rates are a second.
type scalePoint struct {
	Nodes     int `json:"nodes"`
	Endpoints int `json:"endpoints"`
	// CPU is in percent of one core, memory in MB; each is a mean of processes.
	EntryCPU      float64 `json:"entry_cpu_percent"`
	EntryMemory   float64 `json:"entry_memory_mb"`
	ControlCPU    float64 `json:"control_cpu_percent"`
	ControlMemory float64 `json:"control_memory_mb"`
	// WireBytes is all traffic of the fleet, headers of all layers counted, for
	// a node; PeerBytes the part that is messages between own processes.
	WireBytes    float64 `json:"wire_bytes_per_node"`
	PeerBytes    float64 `json:"peer_bytes_per_node"`
	PeerMessages float64 `json:"peer_messages_per_node"`
	StoreCommits float64 `json:"store_commits"`
	StoreReads   float64 `json:"store_reads"`
	// Times are in seconds: until every entry knows.
	LeavingKnown  float64 `json:"leaving_known_s"`
	RevisionKnown float64 `json:"revision_known_s"`
	TakeOver      float64 `json:"take_over_s"`
	// Suspected and WronglyDead are of processes stopped for 1.5 s and let go.
	Suspected   int64 `json:"suspected"`
	WronglyDead int64 `json:"wrongly_dead"`
}

// scale measures a running fleet.
type scale struct {
	admins, controls, controlAdmins []string
	entryPIDs, controlPIDs          []int
	platform, victim, file, out     string
	settle, window                  time.Duration
	// endpoints is how many there must be before measuring.
	endpoints int
	http      *http.Client
}

func scaleCommand() *cobra.Command {
	s := scale{http: httpx.NewClient(2)}
	command := &cobra.Command{
		Use:   "scale",
		Short: "Measure a running fleet and append a line to a file",
		RunE: func(command *cobra.Command, _ []string) error {
			point, err := s.measure(command.Context())
			if err != nil {
				return err
			}
			return appendLine(s.out, point)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&s.admins, "admins", nil, "admin addresses of the entries")
	flags.IntSliceVar(&s.entryPIDs, "entry-pids", nil, "process ids of the entries")
	flags.StringSliceVar(&s.controls, "controls", nil, "operator addresses of the controls")
	flags.StringSliceVar(&s.controlAdmins, "control-admins", nil, "admin addresses of the controls")
	flags.IntSliceVar(&s.controlPIDs, "control-pids", nil, "process ids of the controls")
	flags.StringVar(&s.platform, "platform", "", "address of the platform stand-in")
	flags.StringVar(&s.victim, "victim", "", "host to reclaim")
	flags.StringVar(&s.file, "config", "", "configuration to apply with a small change")
	flags.StringVar(&s.out, "out", "", "file to append to")
	flags.IntVar(&s.endpoints, "endpoints", 1, "endpoints that must be known")
	flags.DurationVar(&s.settle, "settle", 20*time.Second, "time before measuring")
	flags.DurationVar(&s.window, "window", 20*time.Second, "time measured")
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

func (s *scale) measure(ctx context.Context) (scalePoint, error) {
	point := scalePoint{Nodes: len(s.admins)}
	if err := s.awaitFormed(ctx); err != nil {
		return point, err
	}
	time.Sleep(s.settle)
	if err := s.until(ctx, time.Minute, "endpoints are known", func(st operatorwire.EntryStatus) bool {
		point.Endpoints = len(st.Endpoints)
		return len(st.Endpoints) >= s.endpoints
	}); err != nil {
		return point, err
	}
	steps := []func(context.Context, *scalePoint) error{s.quiet, s.news, s.revision, s.pauses, s.takeOver}
	for _, step := range steps {
		if err := step(ctx, &point); err != nil {
			return point, err
		}
	}
	return point, nil
}

// awaitFormed waits until every entry knows all the others.
func (s *scale) awaitFormed(ctx context.Context) error {
	return s.until(ctx, 2*time.Minute, "the fleet has formed", func(st operatorwire.EntryStatus) bool {
		alive := 0
		for _, n := range st.Nodes {
			if n.Status == "alive" && n.Control {
				alive++
			}
		}
		return alive == len(s.admins) && st.Revision > 0 && len(st.Endpoints) > 0
	})
}

// until waits until every entry's status satisfies known.
func (s *scale) until(ctx context.Context, most time.Duration, what string, known func(operatorwire.EntryStatus) bool) error {
	begun := time.Now()
	left := append([]string(nil), s.admins...)
	for len(left) > 0 {
		var still []string
		for _, admin := range left {
			var status operatorwire.EntryStatus
			err := httpx.CallJSON(ctx, s.http, http.MethodGet, "http://"+admin+"/status", nil, &status)
			if err != nil || !known(status) {
				still = append(still, admin)
			}
		}
		left = still
		if time.Since(begun) > most {
			return fmt.Errorf("not within %v: %s (%d entries left)", most, what, len(left))
		}
		if len(left) > 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// snapshot is all that is counted, at one moment.
type snapshot struct {
	at                         time.Time
	entryCPU, controlCPU       time.Duration
	entryMemory, controlMemory int64
	wire                       int64
	peerBytes, peerMessages    float64
	store                      standin.StoreCounts
}

func (s *scale) snapshot(ctx context.Context) (snapshot, error) {
	shot := snapshot{at: time.Now()}
	var err error
	if shot.wire, err = measure.LoopbackBytes(); err != nil {
		return shot, err
	}
	if shot.entryCPU, shot.entryMemory, err = total(s.entryPIDs); err != nil {
		return shot, err
	}
	if shot.controlCPU, shot.controlMemory, err = total(s.controlPIDs); err != nil {
		return shot, err
	}
	return shot, httpx.CallJSON(ctx, s.http, http.MethodGet, "http://"+s.platform+"/standin/counts", nil, &shot.store)
}

// addCounters reads the processes' own counters, which costs traffic itself and
// so is not done inside the window.
func (s *scale) addCounters(ctx context.Context, shot *snapshot) error {
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

func total(pids []int) (time.Duration, int64, error) {
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

// quiet measures a fleet without callers.
func (s *scale) quiet(ctx context.Context, point *scalePoint) error {
	var counted, countedAfter snapshot
	if err := s.addCounters(ctx, &counted); err != nil {
		return err
	}
	countedAt := time.Now()
	before, err := s.snapshot(ctx)
	if err != nil {
		return err
	}
	time.Sleep(s.window)
	after, err := s.snapshot(ctx)
	if err != nil {
		return err
	}
	if err := s.addCounters(ctx, &countedAfter); err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	countedSeconds := time.Since(countedAt).Seconds()
	nodes := float64(point.Nodes)
	const mega = 1 << 20
	point.EntryCPU = 100 * (after.entryCPU - before.entryCPU).Seconds() / seconds / nodes
	point.ControlCPU = 100 * (after.controlCPU - before.controlCPU).Seconds() / seconds / nodes
	point.EntryMemory = float64(after.entryMemory) / mega / nodes
	point.ControlMemory = float64(after.controlMemory) / mega / nodes
	point.WireBytes = float64(after.wire-before.wire) / seconds / nodes
	point.PeerBytes = (countedAfter.peerBytes - counted.peerBytes) / countedSeconds / nodes
	point.PeerMessages = (countedAfter.peerMessages - counted.peerMessages) / countedSeconds / nodes
	point.StoreCommits = float64(after.store.Commits-before.store.Commits) / seconds
	point.StoreReads = float64(after.store.Gets+after.store.Lists-before.store.Gets-before.store.Lists) / seconds
	return nil
}

// news reclaims a host and waits until every entry knows.
func (s *scale) news(ctx context.Context, point *scalePoint) error {
	begun := time.Now()
	order := clouds.ReclaimOrder{Host: s.victim, NoticeMS: 30_000}
	if err := httpx.CallJSON(ctx, s.http, http.MethodPost, "http://"+s.platform+"/standin/reclaim", order, nil); err != nil {
		return err
	}
	err := s.until(ctx, time.Minute, "all know the leaving endpoint", func(st operatorwire.EntryStatus) bool {
		for _, e := range st.Endpoints {
			if e.Endpoint == s.victim {
				return e.State != "live"
			}
		}
		return false
	})
	point.LeavingKnown = time.Since(begun).Seconds()
	return err
}

// revision applies a configuration and waits until it is in force everywhere.
func (s *scale) revision(ctx context.Context, point *scalePoint) error {
	client, err := operatorclient.New(s.controls, "", "")
	if err != nil {
		return err
	}
	seen, _, err := client.Config(ctx)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(s.file)
	if err != nil {
		return err
	}
	data = append(data, []byte(fmt.Sprintf("\n[team added-%d]\nkeys = %064x\nrate = 1\n", seen, seen+1))...)
	sections, err := fleet.Parse(s.file, data)
	if err != nil {
		return err
	}
	begun := time.Now()
	revision, err := client.Apply(ctx, seen, sections)
	if err != nil {
		return err
	}
	err = s.until(ctx, time.Minute, "the revision is in force", func(st operatorwire.EntryStatus) bool { return st.Revision >= revision })
	point.RevisionKnown = time.Since(begun).Seconds()
	return err
}

// Stopped processes.
const (
	stoppedProcesses = 3
	stoppedFor       = 1500 * time.Millisecond
)

// pauses stops some entries for a while and counts wrong verdicts.
func (s *scale) pauses(ctx context.Context, point *scalePoint) error {
	beforeSuspected, beforeDead, err := s.verdicts(ctx)
	if err != nil {
		return err
	}
	stopped := s.entryPIDs[:min(stoppedProcesses, len(s.entryPIDs)-1)]
	for _, pid := range stopped {
		if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	time.Sleep(stoppedFor)
	for _, pid := range stopped {
		if err := syscall.Kill(pid, syscall.SIGCONT); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	suspected, dead, err := s.verdicts(ctx)
	point.Suspected = suspected - beforeSuspected
	point.WronglyDead = dead - beforeDead
	return err
}

func (s *scale) verdicts(ctx context.Context) (suspected, dead int64, err error) {
	for _, admin := range s.admins {
		var status operatorwire.EntryStatus
		if err := httpx.CallJSON(ctx, s.http, http.MethodGet, "http://"+admin+"/status", nil, &status); err != nil {
			return 0, 0, err
		}
		suspected += status.Suspected
		dead += status.Declared
	}
	return suspected, dead, nil
}

// takeOver kills one control process and waits until others hold its shards.
func (s *scale) takeOver(ctx context.Context, point *scalePoint) error {
	shards := map[int]bool{}
	victim := -1
	for i := range s.controls {
		held, err := s.shardsOf(ctx, i)
		if err != nil {
			return err
		}
		if len(held) > 0 {
			victim, shards = i, held
			break
		}
	}
	if victim < 0 {
		return errors.New("no control process holds a shard")
	}
	begun := time.Now()
	if err := syscall.Kill(s.controlPIDs[victim], syscall.SIGKILL); err != nil {
		return err
	}
	for time.Since(begun) < time.Minute {
		found := map[int]bool{}
		for i := range s.controls {
			if i == victim {
				continue
			}
			held, err := s.shardsOf(ctx, i)
			if err != nil {
				return err
			}
			for shard := range held {
				if shards[shard] {
					found[shard] = true
				}
			}
		}
		if len(found) == len(shards) {
			point.TakeOver = time.Since(begun).Seconds()
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("shards were not taken over within a minute")
}

func (s *scale) shardsOf(ctx context.Context, control int) (map[int]bool, error) {
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
