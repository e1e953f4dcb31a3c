package rolloutsync

import (
	"fmt"
	"math"
	"time"

	"ironhollow/pkg/rollout"
)

// Bounds of the numbers in datagrams and rows. Sums over all hosts do not overflow within them.
const (
	// maxMS bounds times of the store's clock and periods: 100 years.
	maxMS = 100 * 365 * 24 * 3600 * 1000
	// maxCount bounds counts of requests and answers.
	maxCount = 1_000_000_000_000
	// maxSlack bounds the requests that a host may send in excess of its share.
	maxSlack = 1_000_000_000
	// maxThreshold bounds slow thresholds, in seconds or multiples of the expected duration.
	maxThreshold = 1e9
)

func inRange(value, lowest, highest int64) bool { return value >= lowest && value <= highest }

func checkPhase(phase int) error {
	if !inRange(int64(phase), int64(rollout.Trying), int64(rollout.Reverted)) {
		return fmt.Errorf("rolloutsync: unknown phase %d", phase)
	}
	return nil
}

func checkPeriod(ms int64) error {
	if !inRange(ms, 1, maxMS) {
		return fmt.Errorf("rolloutsync: period out of range: %d ms", ms)
	}
	return nil
}

func (d wireDirective) check() error {
	if err := checkPhase(d.Phase); err != nil {
		return err
	}
	if err := checkPeriod(d.PeriodMS); err != nil {
		return err
	}
	if !(d.Share >= 0 && d.Share <= 1) || !inRange(int64(d.Slack), 0, maxSlack) {
		return fmt.Errorf("rolloutsync: directive of order %d with share %v and slack %d", d.Order, d.Share, d.Slack)
	}
	return checkThresholds(d.SlowThresholds)
}

func (r wireReport) check() error {
	if err := checkPhase(r.Phase); err != nil {
		return err
	}
	counts := []int{r.Requests, r.TargetRequests, r.OthersRunning}
	for _, t := range r.Tallies {
		counts = append(counts, t.Answers, t.Bad)
	}
	for _, n := range counts {
		if !inRange(int64(n), 0, maxCount) {
			return fmt.Errorf("rolloutsync: report of order %d with a count of %d", r.Order, n)
		}
	}
	if !inRange(r.LongestOtherMS, 0, maxMS) {
		return fmt.Errorf("rolloutsync: report of order %d with a time of %d ms", r.Order, r.LongestOtherMS)
	}
	return checkThresholds(r.SlowThresholds)
}

func checkThresholds(thresholds []wireSlowThreshold) error {
	for _, s := range thresholds {
		if value := float64(s.Value); math.IsNaN(value) || value <= 0 || value > maxThreshold || !inRange(int64(s.Answers), 0, maxCount) {
			return fmt.Errorf("rolloutsync: threshold of %v by %d answers", s.Value, s.Answers)
		}
	}
	return nil
}

func (r row) check() error {
	if err := checkPhase(r.Phase); err != nil {
		return err
	}
	if err := checkPeriod(r.PeriodMS); err != nil {
		return err
	}
	if !inRange(r.StartedMS, 0, maxMS) {
		return fmt.Errorf("rolloutsync: start out of range: %d ms", r.StartedMS)
	}
	return nil
}

func fromMS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
