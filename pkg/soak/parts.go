package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ironhollow/platform/standin"
)

// CrashingPart is a load of streams with prompts of several parts, one of which crashes endpoints.
type CrashingPart struct {
	// Prompts are the shared parts of crashing prompts, of which each request has one; each contains Part.
	Prompts [][]string
	Part    string
	// SoundPrompts are those of sound requests, which may contain Part as long as it is sound.
	SoundPrompts [][]string
	// Interval is the mean time between two crashing requests, SoundInterval that between two sound ones.
	Interval, SoundInterval time.Duration
	// SoundFor is how long all requests are sound, Duration how long the part then crashes endpoints.
	SoundFor, Duration time.Duration
	// KillAll kills all hosts at once after half of Duration.
	KillAll bool
}

// CrashingPartOutcome is the result of one CrashingPart.
type CrashingPartOutcome struct {
	// Crashes is how many endpoints crashed, LateCrashes how many of them propagationTime or more after
	// the fifth.
	Crashes, LateCrashes int
	// Rejected is the number of crashing requests that were answered as not run.
	Rejected int
	// Sound and SoundBegun count the sound requests sent twice propagationTime or more after the fifth
	// crash, or after the last if there are fewer, and those that began.
	Sound, SoundBegun int
}

// partCrashThreshold is the number of crashes after which requests with the part must not reach any
// endpoint.
const partCrashThreshold = 5

// RunCrashingParts sends the loads to random hosts, one after the other.
func RunCrashingParts(ctx context.Context, o Options, endpoints int, loads []CrashingPart) (Outcome, []CrashingPartOutcome, error) {
	r := newRun(o)
	r.streamVersions = make([]string, endpoints)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, nil, err
	}
	r.wait(ctx, meetTime)
	var outcomes []CrashingPartOutcome
	for i, load := range loads {
		outcomes = append(outcomes, r.sendCrashingPart(ctx, i, load))
	}
	r.checkInvariants()
	return r.outcome(), outcomes, ctx.Err()
}

// promptResult is what the caller of a request with a prompt observed.
type promptResult struct {
	sentAt                 time.Time
	sound, began, rejected bool
}

func (r *run) sendCrashingPart(ctx context.Context, number int, load CrashingPart) CrashingPartOutcome {
	random := rand.New(rand.NewPCG(r.options.Seed, crashingStream+100+uint64(number)))
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	start := time.Now()
	crashesFrom := start.Add(load.SoundFor)
	end := crashesFrom.Add(load.Duration)
	time.AfterFunc(load.SoundFor, func() { r.requestLog.SetCrashingPart(load.Part, true) })
	if load.KillAll {
		time.AfterFunc(load.SoundFor+load.Duration/2, r.killAll)
	}
	var (
		mu      sync.Mutex
		results []promptResult
		pending sync.WaitGroup
	)
	send := func(id string, prompt []string, sound bool) {
		address := r.nodes[random.IntN(len(r.nodes))].settings.Callers
		pending.Go(func() {
			result := r.sendPrompt(client, address, id, prompt)
			result.sound = sound
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	nextCrashing, nextSound := crashesFrom, start
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		now := time.Now()
		if !now.Before(nextCrashing) {
			send(fmt.Sprintf("part-%d-%d", number, n), load.Prompts[random.IntN(len(load.Prompts))], false)
			nextCrashing = now.Add(load.Interval/2 + time.Duration(random.Int64N(int64(load.Interval))))
		}
		if !now.Before(nextSound) {
			prompt := load.SoundPrompts[random.IntN(len(load.SoundPrompts))]
			if now.Before(crashesFrom) && load.SoundFor > 0 {
				prompt = load.Prompts[random.IntN(len(load.Prompts))]
			}
			send(fmt.Sprintf("sound-%d-%d", number, n), prompt, true)
			nextSound = now.Add(load.SoundInterval/2 + time.Duration(random.Int64N(int64(load.SoundInterval))))
		}
		r.wait(ctx, time.Millisecond)
	}
	pending.Wait()
	r.requestLog.SetCrashingPart(load.Part, false)
	outcome := summarize(r.requestLog.CrashTimes(load.Part), results)
	r.log("crashing part %d: %+v", number, outcome)
	return outcome
}

// summarize compares the results with the times of the crashes.
func summarize(crashes []time.Time, results []promptResult) CrashingPartOutcome {
	outcome := CrashingPartOutcome{Crashes: len(crashes)}
	if len(crashes) == 0 {
		return outcome
	}
	known := crashes[min(len(crashes), partCrashThreshold)-1]
	for _, at := range crashes {
		if at.Sub(known) > propagationTime+standin.CrashDelay {
			outcome.LateCrashes++
		}
	}
	for _, result := range results {
		switch {
		case !result.sound && result.rejected:
			outcome.Rejected++
		case result.sound && result.sentAt.Sub(known) > 2*propagationTime:
			outcome.Sound++
			if result.began {
				outcome.SoundBegun++
			}
		}
	}
	return outcome
}

// sendPrompt sends a stream whose prompt has the given parts and a last part of its own.
func (r *run) sendPrompt(client *http.Client, address, id string, prompt []string) promptResult {
	result := promptResult{sentAt: time.Now()}
	request, err := standin.NewRequest(address, standin.Stream, id, "prompt "+id)
	if err != nil {
		r.report.addViolation("%s: %v", id, err)
		return result
	}
	request.Header.Set("X-Prefix-Hash", strings.Join(prompt, ":200,")+fmt.Sprintf(":200,%x:60", len(id)*1e6+int(result.sentAt.UnixNano()%1e6)))
	request.Header.Set("X-Token-Counts", "460,20")
	response, err := client.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.rejected = standin.MeansNotRun(response.StatusCode)
	if result.rejected && r.requestLog.Runs(id) > 0 {
		r.report.addViolation("%s ran although its response said that it did not", id)
	}
	events := bufio.NewScanner(response.Body)
	result.began = response.StatusCode == http.StatusOK && events.Scan()
	for events.Scan() {
	}
	return result
}
