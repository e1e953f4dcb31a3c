package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// An endpoint may start again under its ID as another release, and its row shows that only some time later. Once a
// connection to it was lost, its release is certain again when it has written a row since.

// Timing of rows that confirm a release.
const (
	// lateWrite is how long after the end of an endpoint the store may still apply a row that it wrote.
	lateWrite = 100 * time.Millisecond
	// confirmTimeout is how long a stream waits for a row. Endpoints write theirs each 1.2 s.
	confirmTimeout = 3 * time.Second
	// confirmInterval is the time between two checks whether the row has been read.
	confirmInterval = 20 * time.Millisecond
)

// UseRowReader sets a function that lets the rows of endpoints be read soon and does not block. It must be called
// before the first request.
func (f *Forwarder) UseRowReader(readSoon func()) { f.readRowsSoon = readSoon }

// isConfirmed reports whether the release of an endpoint's row is certain, as no connection to the endpoint was lost
// since the row was written.
func isConfirmed(pool *upstream.Pool, info endpoint.Info) bool {
	lostAt := pool.LostAt(info.Address)
	return lostAt.IsZero() || info.WrittenAfter.After(lostAt.Add(lateWrite))
}

func (f *Forwarder) confirms(info endpoint.Info) bool { return isConfirmed(f.pool, info) }

// confirmsNow reports whether the endpoint of a choice still is of the release for which it was chosen.
func (f *Forwarder) confirmsNow(choice route.Choice) bool {
	info, ok := f.router.Lookup(choice.Endpoint.ID)
	return ok && info.Release == choice.Endpoint.Release && f.confirms(info)
}

// confirmsChoice is confirms for a choice of this request.
func (c *call) confirmsChoice(info endpoint.Info) bool {
	ok := c.f.confirms(info)
	c.isUnconfirmed = c.isUnconfirmed || !ok
	return ok
}

// chooseEndpoint picks the next endpoint. A request that continues a stream waits for the row of an endpoint if no
// other can take it.
func (c *call) chooseEndpoint(ctx context.Context) (choice route.Choice, ok bool) {
	choice, ok = c.chooseWithSlot(ctx)
	if !c.lacksRow(ok) {
		return choice, ok
	}
	c.logEntry.addNote("waits for a row")
	c.f.awaitRow(ctx, func() bool {
		c.isDemandCounted = true
		choice, ok = c.chooseWithSlot(ctx)
		c.isDemandCounted = false
		return !c.lacksRow(ok)
	})
	return choice, ok
}

// lacksRow reports whether a choice that chose an endpoint or not may choose one once a row has been read.
func (c *call) lacksRow(isChosen bool) bool {
	return !isChosen && c.isUnconfirmed && c.slotRetryAfter == 0
}

// awaitRow waits until a check that depends on the rows of endpoints is done. It returns false if that takes too long.
func (f *Forwarder) awaitRow(ctx context.Context, isDone func() bool) bool {
	expired := time.NewTimer(confirmTimeout)
	defer expired.Stop()
	poll := time.NewTicker(confirmInterval)
	defer poll.Stop()
	for !isDone() {
		f.readRowsSoon()
		select {
		case <-ctx.Done():
			return false
		case <-expired.C:
			return false
		case <-poll.C:
		}
	}
	return true
}

// avoidAfter excludes the endpoint of an attempt from the next ones, unless the attempt only found that the endpoint's
// row has to be awaited.
func (c *call) avoidAfter(choice route.Choice, r result) {
	if n, isNotRun := r.(notRun); isNotRun && errors.Is(n.err, upstream.ErrDeclined) {
		return
	}
	c.avoid = append(c.avoid, refOf(choice))
}

// recordLoss records that an endpoint closed a connection inside an event.
func (c *call) recordLoss(choice route.Choice, err error) {
	if errors.Is(err, errInsideEvent) && choice.Endpoint.ID != noChoice.Endpoint.ID {
		c.f.pool.RecordLoss(choice.Endpoint.Address)
	}
}

// unsettledOrigin is the presumed origin of a stream that began at an endpoint whose row was not confirmed.
type unsettledOrigin struct {
	source   origin.Source
	endpoint endpoint.Ref
	begunAt  time.Time
}

// errUnsettledOrigin means that it is not known at which release a stream began.
var errUnsettledOrigin = errors.New("the release of the endpoint is not confirmed")

// beginAt is beginStream for a stream that begins at a choice. Its origin is recorded once the endpoint's row confirms it.
func (c *call) beginAt(choice route.Choice, header http.Header, isDetour bool) error {
	source := origin.Source{Service: c.service.Name, Release: choice.Endpoint.Release}
	if isDetour || c.origin != nil || c.f.confirms(choice.Endpoint) {
		return c.beginStream(source, header, isDetour)
	}
	c.unsettled = &unsettledOrigin{source: source, endpoint: choice.Endpoint.Ref(), begunAt: c.f.clock()}
	c.trackTakeable()
	return nil
}

// settlement is what the rows of endpoints show about the presumed origin of a stream.
type settlement int

const (
	pending settlement = iota
	settled
	refuted
)

// check reports whether the presumed origin is certain: the endpoint has written a row since the stream began, or has
// started again as the same release.
func (u *unsettledOrigin) check(f *Forwarder) settlement {
	info, ok := f.router.Lookup(u.endpoint.ID)
	switch {
	case !ok:
		return pending
	case info.Ref() != u.endpoint && info.Release != u.source.Release:
		return refuted
	case info.Ref() != u.endpoint || info.WrittenAfter.After(u.begunAt.Add(lateWrite)):
		return settled
	default:
		return pending
	}
}

// settleOrigin records where the stream began once that is certain.
func (c *call) settleOrigin() settlement {
	u := c.unsettled
	if u == nil {
		return settled
	}
	result := u.check(c.f)
	if result == settled {
		c.unsettled = nil
		c.setOrigin(u.source)
		c.recordOrigin(u.source)
	}
	return result
}

// awaitOrigin waits until it is certain where a stream that broke off and may be resumed here began.
func (c *call) awaitOrigin(ctx context.Context) error {
	if c.unsettled == nil || c.detour != nil || !c.mayResume() {
		return nil
	}
	c.f.awaitRow(ctx, func() bool { return c.settleOrigin() != pending })
	if c.unsettled == nil {
		return nil
	}
	c.endAbandonedRun(ctx, errUnsettledOrigin)
	return errUnsettledOrigin
}

// unknownRelease is the release of a second record of a stream, by which its origin becomes unknown.
const unknownRelease = "\x00"

// endUnsettled records where a stream began that has ended early before that was certain, as its caller may take it up.
func (c *call) endUnsettled(err error) {
	u := c.unsettled
	if u == nil || err == nil || c.detour != nil || !c.mayRepeat() {
		return
	}
	go func() {
		result := pending
		c.f.awaitRow(context.Background(), func() bool {
			result = u.check(c.f)
			return result != pending
		})
		if result == settled {
			c.recordOrigin(u.source)
			return
		}
		unknown := origin.Source{Service: u.source.Service, Release: unknownRelease}
		for _, key := range c.originKeys() {
			c.f.origins.Record(key, u.source, c.f.clock().Sub(c.started), returnTime)
			c.f.origins.Record(key, unknown, c.f.clock().Sub(c.started), returnTime)
		}
	}()
}
