package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/code"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
)

// UseOrigins sets where the origins of streams are recorded and looked up, so that callers can take
// streams up that began at other hosts. It must be called before the first request.
func (f *Forwarder) UseOrigins(directory *origin.Directory) { f.origins = directory }

// OriginLog saves where streams began, so that it is known after all hosts have ended.
type OriginLog interface {
	// Add adds a stream of a route, which its caller may resume during its life.
	Add(key origin.Key, route string, source origin.Source, life time.Duration)
	// Remove removes a stream that is complete.
	Remove(key origin.Key)
	// Find finds where a stream of a route began that may be saved under any of the keys. It returns false if that is not
	// certain.
	Find(ctx context.Context, keys []origin.Key, route string) (source origin.Source, ok bool)
}

// UseOriginLog sets the log of origins. It must be called before the first request.
func (f *Forwarder) UseOriginLog(l OriginLog) { f.originLog = l }

// returnTime is how long after its deadline the origin of a stream is kept for callers that take it
// up.
const returnTime = 30 * time.Second

// fromStore is where an origin is from that the log of origins has.
const fromStore = "store"

// takeUp is what was found for a caller's request to continue a stream.
type takeUp struct {
	finding origin.Finding
	// key is the one under which the stream was found, teamKey the one of the caller's team.
	key, teamKey origin.Key
	took         time.Duration
	// earlier is what became of the earlier attempt, earlierTook how long that took.
	earlier     string
	earlierTook time.Duration
}

// findOrigin finds where the stream that the request continues began. It returns an error if that is not
// known, as events of another release would not fit. A stream whose caller names no attempt may continue
// at any release.
func (c *call) findOrigin(ctx context.Context) error {
	switch {
	case c.detour != nil && c.detour.origin != nil:
		return c.adoptOrigin(*c.detour.origin)
	case c.detour != nil || c.route.Kind != routetable.Stream || c.meta.Resumes == "":
		return nil
	}
	started := c.f.clock()
	t := c.lookUpOrigin(ctx)
	t.took = c.f.clock().Sub(started)
	c.logEntry.takeUp = t
	if t.finding.Result != origin.Known {
		return code.New(code.OriginUnknown, "origin of the stream: "+t.finding.Result.String())
	}
	if err := c.adoptOrigin(t.finding.Source); err != nil {
		return err
	}
	started = c.f.clock()
	var isOutdated bool
	t.earlier, isOutdated = c.endEarlier(ctx, t.finding.Host, t.key)
	t.earlierTook = c.f.clock().Sub(started)
	if isOutdated {
		return code.New(code.StreamTakenUp, "a later request has resumed the stream at another host")
	}
	return nil
}

// lookUpOrigin asks the other hosts where the stream began, and the log if none of them has a record.
func (c *call) lookUpOrigin(ctx context.Context) *takeUp {
	keys := c.attemptKeys(c.meta.Resumes)
	finding, key := c.f.origins.FindAny(ctx, keys)
	t := &takeUp{finding: finding, key: key, teamKey: keys[len(keys)-1]}
	if c.f.originLog == nil || finding.Result != origin.Unknown && finding.Result != origin.Unanswered {
		return t
	}
	if source, ok := c.f.originLog.Find(ctx, keys, c.route.Name); ok {
		t.finding.Result, t.finding.Source, t.finding.From = origin.Known, source, fromStore
	}
	return t
}

// attemptKeys returns the keys under which an attempt of the caller is recorded. The first is the one that the caller most
// likely still has when it resumes the stream: a bearer key may pass to another team while the stream runs, and a team's
// caller may change to another bearer key.
func (c *call) attemptKeys(attempt string) []origin.Key {
	byTeam := origin.KeyOf(c.teamName(), attempt)
	if c.meta.Key == "" {
		return []origin.Key{byTeam}
	}
	return []origin.Key{origin.KeyOfBearer(c.meta.Key, attempt), byTeam}
}

// adoptOrigin restricts the request to the service and the release at which its stream began.
func (c *call) adoptOrigin(source origin.Source) error {
	if !c.route.LeadsTo(source.Service) {
		return code.New(code.ReleaseUnavailable, "the route does not lead to service "+source.Service+", at which the stream began")
	}
	if c.service.Name != source.Service {
		c.service = c.serviceOf(source.Service)
	}
	c.setOrigin(source)
	return nil
}

// errUnknownOrigin means that the host to which a request was forwarded does not say where its stream
// began.
var errUnknownOrigin = errors.New("the other host does not name the release")

// errChangedRelease means that the endpoint of a stream has started again as another release.
var errChangedRelease = errors.New("the endpoint has started again as another release")

// beginStream records where the stream that is relayed began, before its first event is sent.
func (c *call) beginStream(source origin.Source, header http.Header, isDetour bool) error {
	if isDetour {
		var err error
		if source, err = decodeOrigin(header.Get(headerDetourOrigin)); err != nil {
			return err
		}
	}
	c.setOrigin(source)
	c.recordOrigin(source)
	c.trackTakeable()
	return nil
}

// recordOrigin records where the caller's stream began. Records of a forwarded request are made by the host
// that the caller is connected to.
func (c *call) recordOrigin(source origin.Source) {
	if c.detour != nil {
		return
	}
	life := time.Until(c.deadline) + returnTime
	for _, key := range c.originKeys() {
		c.f.origins.Record(key, source, c.f.clock().Sub(c.started), life)
	}
	if c.f.originLog != nil && c.mayRepeat() {
		for _, key := range c.logKeys() {
			c.f.originLog.Add(key, c.route.Name, source, life)
		}
	}
}

// resumableAttempts returns the attempts that the caller may name to resume the stream: it names the first one again
// if it resumes the stream once more.
func (c *call) resumableAttempts() []string {
	if c.meta.Resumes != "" {
		return []string{c.meta.ID, c.meta.Resumes}
	}
	return []string{c.meta.ID}
}

// originKeys returns the keys by which the caller may resume the stream.
func (c *call) originKeys() []origin.Key {
	var keys []origin.Key
	for _, attempt := range c.resumableAttempts() {
		keys = append(keys, c.attemptKeys(attempt)...)
	}
	return keys
}

// logKeys returns the keys under which the stream is saved in the log, whose rows the store limits: one for each attempt.
func (c *call) logKeys() []origin.Key {
	var keys []origin.Key
	for _, attempt := range c.resumableAttempts() {
		keys = append(keys, c.attemptKeys(attempt)[0])
	}
	return keys
}

// forgetOrigin removes a complete stream from the log.
func (c *call) forgetOrigin(err error) {
	if err != nil || c.f.originLog == nil || c.detour != nil || c.origin == nil || c.logEntry.status != http.StatusOK {
		return
	}
	for _, key := range c.logKeys() {
		c.f.originLog.Remove(key)
	}
}

// hasChangedRelease reports whether the endpoint has started again as another release since it was
// chosen. It may have done so before the request arrived, so that it is not known which release the stream
// is of: its record then has no origin.
func (c *call) hasChangedRelease(choice route.Choice) bool {
	info, ok := c.f.router.Lookup(choice.Endpoint.ID)
	if !ok || info.Incarnation == choice.Endpoint.Incarnation || info.Release == choice.Endpoint.Release {
		return false
	}
	c.recordOrigin(origin.Source{Service: c.service.Name, Release: info.Release})
	return true
}

// by returns what the stream was found by, as logged.
func (t *takeUp) by() string {
	switch {
	case t.finding.Result != origin.Known || t.finding.From == fromStore:
		return ""
	case t.key == t.teamKey:
		return "team"
	}
	return "bearer-key"
}

// log adds the take-up to a request's line.
func (t *takeUp) log(line *log.Entry) *log.Entry {
	f := t.finding
	return line.Str("origin", f.Result.String()).Str("origin-by", t.by()).Str("origin-service", f.Source.Service).Str("origin-release", f.Source.Release).
		Str("origin-from", f.From).Dur("origin-age", f.Age).Int("origin-asked", f.Asked).Dur("origin-took", t.took).
		Str("earlier", t.earlier).Dur("earlier-took", t.earlierTook)
}

// countTakeUp counts a take-up by how it ended.
func (c *call) countTakeUp(err error) {
	if c.logEntry.takeUp == nil {
		return
	}
	outcome := "continued"
	switch {
	case c.logEntry.takeUp.finding.Result != origin.Known:
		outcome = "origin-" + c.logEntry.takeUp.finding.Result.String()
	case c.logEntry.status != http.StatusOK:
		outcome = "refused"
		if err != nil {
			outcome = code.Of(err).Name()
		}
	}
	c.f.metrics.takeUps.WithLabelValues(outcome).Inc()
}
