package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashShare is the inverse of the share of all crashes, between the first and the last of a part,
	// that the part must have. With fewer it only happened to run where endpoints crash often.
	minCrashShare = 6
	// crashTimeGap is the time within which crashes of several endpoints count as one.
	crashTimeGap = 50 * time.Millisecond
	// maxCrashTimes bounds the times and endpoints that are remembered.
	maxCrashTimes = 512
)

// crashTimes are the times of the latest crashes of all endpoints.
type crashTimes struct {
	// times are in their order and at least crashTimeGap apart.
	times []time.Time
	// latest is the time of the latest crash of each endpoint: its reports come from many hosts, whose
	// times differ by more than crashTimeGap.
	latest map[string]time.Time
}

// add adds a crash unless it is known.
func (t *crashTimes) add(crash Crash) {
	known, ok := t.latest[crash.Endpoint]
	if ok && !crash.At.After(known.Add(sameCrashWindow)) {
		return
	}
	if len(t.latest) >= maxCrashTimes || t.latest == nil {
		t.latest = map[string]time.Time{}
	}
	t.latest[crash.Endpoint] = crash.At
	i, _ := slices.BinarySearchFunc(t.times, crash.At, time.Time.Compare)
	if i < len(t.times) && t.times[i].Sub(crash.At) < crashTimeGap || i > 0 && crash.At.Sub(t.times[i-1]) < crashTimeGap {
		return
	}
	t.times = slices.Insert(t.times, i, crash.At)
	if len(t.times) > maxCrashTimes {
		t.times = slices.Delete(t.times, 0, 1)
	}
}

// isNotable reports whether the crashes of a case, which has some, are enough of those between its first and
// its last. For a whole request any number is: it hardly runs at several endpoints that crash unless it is
// sent again after each, while many requests have a popular part.
func (t *crashTimes) isNotable(c Case) bool {
	if !c.IsPart {
		return true
	}
	own, previous := 0, time.Time{}
	for _, crash := range c.Crashes {
		if crash.At.Sub(previous) >= crashTimeGap {
			own, previous = own+1, crash.At
		}
	}
	from, _ := slices.BinarySearchFunc(t.times, c.Crashes[0].At, time.Time.Compare)
	until, _ := slices.BinarySearchFunc(t.times, c.Crashes[len(c.Crashes)-1].At, time.Time.Compare)
	return own*minCrashShare >= until-from
}
