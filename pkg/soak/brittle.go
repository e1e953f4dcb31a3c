package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// Parameters of RunFragile.
const (
	// fragileEndpoints is the number of plain endpoints, each with a fragileCapacity. They are offered
	// fragileLoad times what they can serve.
	fragileEndpoints = 4
	fragileLoad      = 1.5
	// fragileDuration is how long the endpoints are fragile. What they serve is counted from
	// fragileSettleTime on.
	fragileDuration   = 12 * time.Second
	fragileSettleTime = 5 * time.Second
	// maxFragileTries is how often a caller sends a request that is refused.
	maxFragileTries = 3
	// fragileTimeLimit is how long a caller waits for an answer.
	fragileTimeLimit = 2 * time.Second
)

var fragileCapacity = standin.Capacity{Slots: 8, Queue: 6, Service: 200 * time.Millisecond}

// FragileOutcome is what happened while the plain endpoints were fragile.
type FragileOutcome struct {
	Falls, Rejected int
	// Used is the share of the endpoints' slot time that served requests.
	Used float64
	// Served and Failed count the callers' requests.
	Served, Failed int64
}

// RunFragile makes four plain endpoints fragile under more load than they can serve. With restart one
// host is killed and started again meanwhile.
func RunFragile(ctx context.Context, o Options, maxRejections int, restart bool) (Outcome, FragileOutcome, error) {
	r := newRun(o)
	defer r.stop()
	r.fragility = standin.NewFragility(fragileCapacity)
	if err := r.start(); err != nil {
		return Outcome{}, FragileOutcome{}, err
	}
	if err := r.addPlainEndpoint(); err != nil {
		return Outcome{}, FragileOutcome{}, err
	}
	load := &fragileLoader{run: r, random: rand.New(rand.NewPCG(o.Seed, 3)), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var loaders sync.WaitGroup
	loaders.Go(func() { load.send(loadCtx) })
	r.wait(ctx, warmUpTime)
	r.log("the plain endpoints stand %d rejections", maxRejections)
	rejectedBefore := r.fragility.Log().Rejected
	r.fragility.SetMaxRejections(maxRejections)
	if restart {
		time.AfterFunc(fragileSettleTime+time.Second, func() {
			r.recordStop()
			r.nodes[0].signal(syscall.SIGKILL)
		})
	}
	r.wait(ctx, fragileSettleTime)
	before := r.fragility.Log()
	r.wait(ctx, fragileDuration-fragileSettleTime)
	after := r.fragility.Log()
	stopLoad()
	loaders.Wait()
	load.client.CloseIdleConnections()
	available := fragileEndpoints * float64(fragileCapacity.Slots) * (fragileDuration - fragileSettleTime).Seconds()
	outcome := FragileOutcome{
		Falls: len(after.Falls), Rejected: after.Rejected - rejectedBefore, Used: (after.ServedTime - before.ServedTime).Seconds() / available,
		Served: load.served.Load(), Failed: load.failed.Load(),
	}
	r.checkInvariants()
	return r.outcome(), outcome, ctx.Err()
}

// addPlainEndpoint starts a further plain endpoint.
func (r *run) addPlainEndpoint() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpointsStarted++
	r.endpoints, r.proxies = append(r.endpoints, nil), append(r.proxies, nil)
	return r.startEndpointAt(len(r.endpoints)-1, standin.PlainService, standin.Version{Name: initialVersion}, anyPortAddress)
}

// fragileLoader sends requests at a fixed rate, whatever becomes of them.
type fragileLoader struct {
	run            *run
	random         *rand.Rand
	client         *http.Client
	served, failed atomic.Int64
}

// send sends requests until ctx ends, and waits for the last of them.
func (l *fragileLoader) send(ctx context.Context) {
	perSecond := fragileLoad * fragileEndpoints * float64(fragileCapacity.Slots) / fragileCapacity.Service.Seconds()
	var pending sync.WaitGroup
	defer pending.Wait()
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		next = next.Add(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		l.run.wait(ctx, time.Until(next))
		first := l.random.IntN(len(l.run.nodes))
		pending.Go(func() {
			if l.sendOne(fmt.Sprintf("fragile-%d", i), first) {
				l.served.Add(1)
			} else {
				l.failed.Add(1)
			}
		})
	}
}

// sendOne sends a request to a host, and to the next one after a refusal, and reports whether it was
// served.
func (l *fragileLoader) sendOne(id string, host int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fragileTimeLimit)
	defer cancel()
	for try := range maxFragileTries {
		address := l.run.nodes[(host+try)%len(l.run.nodes)].settings.Callers
		request, err := standin.NewRequest(address, standin.Safe, fmt.Sprintf("%s-%d", id, try), "")
		if err != nil {
			l.run.report.addViolation("%s: %v", id, err)
			return false
		}
		response, err := l.client.Do(request.WithContext(ctx))
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return err == nil
		}
		retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		l.run.wait(ctx, min(time.Duration(retryAfter*float64(time.Second)), fragileTimeLimit/maxFragileTries))
	}
	return false
}
