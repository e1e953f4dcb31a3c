package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"ironhollow/pkg/bodies"
	"ironhollow/pkg/code"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/routetable"
)

func (c *call) findRoute() error {
	table, fresh := c.f.tables.Current()
	if table == nil {
		return code.New(code.NotReady, "no configuration yet")
	}
	c.table = table
	if c.detour != nil && table.Version() < c.detour.configVersion {
		return code.New(code.NotReady, "the configuration is older than that of the host that forwards the request")
	}
	path, _, _ := splitTarget(c.incoming.RequestURI)
	found, ok := table.Match(c.incoming.Host, path)
	if !ok && !fresh {
		return code.New(code.NotReady, "no such route in a configuration that may be old")
	}
	if !ok {
		return code.New(code.UnknownPath, "no route")
	}
	c.route = found
	c.service = c.serviceOf(found.Pick(rand.Float64()))
	return nil
}

// serviceOf returns a service of the configuration by which the request is served.
func (c *call) serviceOf(name string) *routetable.Service {
	if s, ok := c.table.Service(name); ok {
		return s
	}
	return &routetable.Service{Name: name}
}

func splitTarget(target string) (path, query string, ok bool) {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i], target[i+1:], true
		}
	}
	return target, "", false
}

func (c *call) authorize() error {
	c.priority = c.route.Priority
	if c.route.Public || !c.table.RequiresKeys() {
		return nil
	}
	team, ok := c.table.Team(c.meta.Key)
	if !ok {
		if _, fresh := c.f.tables.Current(); !fresh {
			return code.New(code.NotReady, "no such key in a configuration that may be old")
		}
		return code.New(code.UnknownKey, "unknown key")
	}
	c.team = team
	if team.HasPriority {
		c.priority = team.Priority
	}
	return nil
}

func (c *call) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// unreadBodyTime is how long the rest of a refused request's body is read, so that its caller receives the response. The
// HTTP server closes the connection if there is more.
const unreadBodyTime = 200 * time.Millisecond

// readBody reads the request's body, until the request's deadline.
func (c *call) readBody(ctx context.Context) error {
	maxBytes := c.table.Limits().MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	c.limitBodyTime(c.deadline)
	source := bodies.Source{Reader: c.incoming.Body, Length: c.incoming.ContentLength, Interrupt: func() { c.limitBodyTime(time.Now()) }}
	body, err := c.f.bodies.Read(ctx, source, maxBytes)
	switch {
	case errors.Is(err, bodies.ErrTooLong):
		return code.New(code.BodyTooLong, "the body is longer than "+strconv.FormatInt(maxBytes, 10)+" bytes")
	case errors.Is(err, bodies.ErrNoMemory):
		return code.New(code.NoMemory, err.Error())
	case errors.Is(err, bodies.ErrTooSlow), errors.Is(err, os.ErrDeadlineExceeded):
		return code.New(code.BodyTimeout, err.Error())
	case err != nil:
		return code.New(code.BadBody, err.Error())
	}
	c.hasReadBody = true
	c.limitBodyTime(time.Time{})
	c.body = body.Bytes()
	c.atEnd = append(c.atEnd, body.Release)
	c.hasBody = c.incoming.ContentLength > 0 || len(c.body) > 0 || c.incoming.Header.Get("Content-Length") != "" || len(c.incoming.TransferEncoding) > 0
	c.header = endToEndHeaders(c.incoming.Header)
	removeDetourHeaders(c.header)
	return nil
}

// limitBodyTime sets until when the body is read, zero for no limit. A connection of another kind has no limit.
func (c *call) limitBodyTime(until time.Time) {
	if c.incoming.Body == nil || c.incoming.Body == http.NoBody {
		return
	}
	if err := http.NewResponseController(c.w).SetReadDeadline(until); err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.f.log.Debug().Err(err).Msg("failed to limit the time of a body")
	}
}

// endToEndHeaders copies headers without those that apply to a single connection.
func endToEndHeaders(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	connectionOptions := h.Values("Connection")
	for name, values := range h {
		if !slices.Contains(connectionHeaders, name) {
			kept[name] = values
		}
	}
	for _, field := range connectionOptions {
		for _, name := range splitList(field) {
			kept.Del(name)
		}
	}
	return kept
}

// checkRateLimit charges the request to its team's rate limit.
func (c *call) checkRateLimit() (time.Duration, bool) {
	if c.team == nil || c.team.Rate <= 0 {
		return 0, true
	}
	cost := 1.0
	if c.team.ByTokens {
		cost = float64(c.team.DefaultTokens)
		if c.meta.HasTokens {
			cost = float64(c.meta.PromptTokens + c.meta.MaxTokens)
		}
	}
	c.logEntry.limitCost = cost
	team := limit.TeamLimit{Name: c.team.Name, Rate: c.team.Rate, Burst: c.team.Burst}
	d := c.f.limits.Allow(team, limit.Request{Cost: cost, Priority: c.route.Priority}, c.f.clock())
	if !d.Admitted {
		c.logEntry.addNote(fmt.Sprintf("limit: held %.0f, needed %.0f for a cost of %.0f; rate %.0f; part %.2f; %.1f hosts reckoned with",
			d.Available, d.Required, cost, c.team.Rate, d.Share, d.Contenders))
	}
	return d.Wait, d.Admitted
}
