package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the unplanned end of an endpoint while it ran a request.
type Crash struct {
	Endpoint string
	At       time.Time
	// Team is the team of the request if the case is that of a part as named by all teams.
	Team TeamTag
}

// isSame reports whether two reports are of one crash of an endpoint.
func (c Crash) isSame(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.At.Sub(other.At).Abs() <= sameCrashWindow
}

// Case is what is known of one request, or of one part of prompts. It is a value; Crashes is not modified
// once the case is returned.
type Case struct {
	Fingerprint Fingerprint
	// IsPart is set if the case is that of a part.
	IsPart bool
	// Crashes are the latest crashes since LastSuccess, maxCrashes at most, in the order of their times.
	Crashes []Crash
	// LastSuccess is when the request was last answered completely, or when an answer to a prompt with the
	// part last began; zero if not known.
	LastSuccess time.Time
	// Trials counts the requests that were admitted while the case was quarantined, TrialAt is the time of
	// the latest.
	Trials  int
	TrialAt time.Time
}

// isImplicated reports whether at least count crashes implicate the case, the last of them within
// quarantineDuration. Reports of a single team do not implicate a part as named by all teams: the team may
// name parts falsely.
func (c Case) isImplicated(count int, now time.Time) bool {
	if c.wasSound() {
		count += soundCrashes
	}
	if len(c.Crashes) < max(count, 1) || c.crashCount() < count {
		return false
	}
	return now.Sub(c.Crashes[len(c.Crashes)-1].At) < quarantineDuration && !c.isOfSingleTeam()
}

// crashCount returns the number of crashes. Those of one burst count once if the case was sound just
// before: when a data centre fails, its endpoints crash together under whatever is popular.
func (c Case) crashCount() int {
	if len(c.Crashes) == 0 {
		return 0
	}
	first, count := c.Crashes[0].At, 0
	if c.wasSound() {
		count = 1
	}
	for i, crash := range c.Crashes {
		inBurst := c.wasSound() && crash.At.Sub(first) < burstWindow
		isRepeated := slices.ContainsFunc(c.Crashes[:i], crash.isSame)
		if !inBurst && !isRepeated {
			count++
		}
	}
	return count
}

// wasSound reports whether the last success was shortly before the first crash.
func (c Case) wasSound() bool {
	return len(c.Crashes) > 0 && !c.LastSuccess.IsZero() && c.Crashes[0].At.Sub(c.LastSuccess) < soundWindow
}

// isOfSingleTeam reports whether one team names the part in all crashes, where teams are known.
func (c Case) isOfSingleTeam() bool {
	isInAll := func(team TeamTag) bool {
		return !slices.ContainsFunc(c.Crashes, func(crash Crash) bool {
			return !slices.ContainsFunc(c.Crashes, func(other Crash) bool { return other.Team == team && other.isSame(crash) })
		})
	}
	return slices.ContainsFunc(c.Crashes, func(crash Crash) bool { return crash.Team != 0 && isInAll(crash.Team) })
}

// trialDue returns when the next request of a quarantined case may be admitted for a trial. A case that
// was sound just before its first crash is tried sooner, as the crashes may have another cause.
func (c Case) trialDue() time.Time {
	index := min(c.Trials, len(trialDelays))
	if !c.wasSound() {
		index += unsoundTrialDelays
	}
	from := c.TrialAt
	if n := len(c.Crashes); n > 0 && c.Crashes[n-1].At.After(from) {
		from = c.Crashes[n-1].At
	}
	return from.Add(trialDelays[min(index, len(trialDelays)-1)])
}

// Expired reports whether all crashes of a case are older than crashRetention.
func Expired(c Case, now time.Time) bool {
	return len(c.Crashes) == 0 || now.Sub(c.Crashes[len(c.Crashes)-1].At) > crashRetention
}

// add adds a crash unless it is known or was before the last success, and reports whether the case changed.
func (c *Case) add(crash Crash) bool {
	if crash.At.Before(c.LastSuccess) {
		return false
	}
	for _, known := range c.Crashes {
		if known.isSame(crash) && known.Team == crash.Team {
			return false
		}
	}
	crashes := append(slices.Clone(c.Crashes), crash)
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Team, b.Team))
	})
	latest := crashes[len(crashes)-1].At
	crashes = slices.DeleteFunc(crashes, func(crash Crash) bool { return latest.Sub(crash.At) > crashRetention })
	if len(crashes) > maxCrashes {
		crashes = crashes[len(crashes)-maxCrashes:]
	}
	changed := !slices.Equal(crashes, c.Crashes)
	c.Crashes = crashes
	return changed
}

// applySuccess sets the time of the last success and drops the crashes before it. It reports whether
// crashes were dropped, which other hosts have to know.
func (c *Case) applySuccess(success time.Time) bool {
	if !success.After(c.LastSuccess) {
		return false
	}
	c.LastSuccess = success
	crashes := slices.DeleteFunc(slices.Clone(c.Crashes), func(crash Crash) bool { return crash.At.Before(success) })
	dropped := len(crashes) < len(c.Crashes)
	c.Crashes = crashes
	if c.TrialAt.Before(success) {
		c.Trials, c.TrialAt = 0, time.Time{}
	}
	return dropped
}

// MaxTrials bounds the number of trials that is accepted from other hosts and from the store.
const MaxTrials = 1_000_000

// applyTrials applies what another host knows of trials, and reports whether that is newer.
func (c *Case) applyTrials(trials int, at time.Time) bool {
	if trials <= c.Trials || trials > MaxTrials || at.Before(c.LastSuccess) {
		return false
	}
	c.Trials, c.TrialAt = trials, at
	return true
}

// isMissingFrom reports whether a host that sends a case has not received a success that changes it.
func (c Case) isMissingFrom(received Case) bool {
	if !c.LastSuccess.After(received.LastSuccess) {
		return false
	}
	for _, crash := range received.Crashes {
		if crash.At.Before(c.LastSuccess) {
			return true
		}
	}
	return c.wasSound() && !received.wasSound()
}
