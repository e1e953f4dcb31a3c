package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	manyStreams = 80
	// newStreams is how many streams begin while others are taken up, leastTakeUps how many of those the rule needs.
	newStreams   = 12
	leastTakeUps = 12
)

// passedKey passes the consumers' key on to another tenant while their streams run. A server that crashes later breaks some
// streams, whose consumers take them up with the same key.
func passedKey(l *lab) string {
	f := l.startStreams(manyStreams, "v1", "v1", "v1", "v2", "v2")
	if l.trouble {
		l.operatorWrites(f.manifest(2, map[string]any{"name": "branch", "api_keys": []string{}}, map[string]any{"name": "office", "api_keys": []string{"key-1"}}))
	}
	// The manifest is in force.
	time.Sleep(configApply + 500*time.Millisecond)
	f.engines[0].crash()
	time.Sleep(200 * time.Millisecond)
	close(f.comeBack)
	var begun atomic.Int64
	var all sync.WaitGroup
	for i := range newStreams {
		all.Go(func() {
			c := &reader{l: l}
			if c.read(f.second, fmt.Sprintf("new-%d", i)) == 200 {
				begun.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	f.all.Wait()
	broken, wentOn := 0, 0
	for _, c := range f.readers {
		if c.takeUps == 0 {
			continue
		}
		broken++
		if c.complete {
			wentOn++
		}
	}
	l.record.line("%d streams taken up, %d of them went on; %d of %d new streams began", broken, wentOn, begun.Load(), newStreams)
	if broken < leastTakeUps {
		fail("only %d streams were taken up", broken)
	}
	if 2*wentOn*newStreams < int(begun.Load())*broken {
		return fmt.Sprintf("LOST: %d of %d streams that were taken up went on, %d of %d new ones began", wentOn, broken, begun.Load(), newStreams)
	}
	return ""
}
