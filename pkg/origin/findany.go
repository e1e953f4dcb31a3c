package origin

import (
	"context"
	"time"
)

// fallbackDelay is the time after which a stream is searched by its next key too.
const fallbackDelay = askInterval

// found is the finding of a search.
type found struct {
	finding Finding
	key     Key
}

// FindAny finds where a stream began that may be recorded under any of the keys, the most likely one first. It returns
// the key under which it was found.
func (d *Directory) FindAny(ctx context.Context, keys []Key) (Finding, Key) {
	now := d.clock()
	for _, key := range keys {
		if r, ok := d.table.find(key, now); ok {
			return d.findingOf(r, "", 0), key
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	findings := make(chan found, len(keys))
	started := 0
	searchNext := func() {
		if started < len(keys) {
			key := keys[started]
			started++
			go func() { findings <- found{d.Find(ctx, key), key} }()
		}
	}
	searchNext()
	fallback := time.NewTicker(fallbackDelay)
	defer fallback.Stop()
	best, asked := found{finding: Finding{Result: Unknown}}, 0
	for ended := 0; ended < len(keys); {
		select {
		case f := <-findings:
			ended++
			asked += f.finding.Asked
			if f.finding.Result == Known {
				f.finding.Asked = asked
				return f.finding, f.key
			}
			best = best.orWorse(f)
			searchNext()
		case <-fallback.C:
			searchNext()
		}
	}
	best.finding.Asked = asked
	return best.finding, best.key
}

// orWorse returns the finding of two that says less about where the stream began.
func (f found) orWorse(other found) found {
	if f.finding.Result < other.finding.Result {
		return other
	}
	return f
}
