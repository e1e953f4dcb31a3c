package forward

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

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
	path, _, _ := cutTarget(c.in.RequestURI)
	found, ok := table.Match(c.in.Host, path)
	if !ok && !fresh {
		return code.New(code.NotReady, "no such route in a configuration that may be old")
	}
	if !ok {
		return code.New(code.UnknownEndpoint, "no route")
	}
	c.route = found
	name := found.Pick(rand.Float64())
	if c.service, ok = table.Service(name); !ok {
		c.service = &routetable.Service{Name: name}
	}
	return nil
}

func cutTarget(target string) (path, query string, ok bool) {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i], target[i+1:], true
		}
	}
	return target, "", false
}

func (c *call) authorize() error {
	c.priority = c.route.Priority
	if c.route.Public || !c.table.NeedsKey() {
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

func (c *call) readBody() error {
	most := c.table.Limits().BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.in.Body, most))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return code.New(code.BodyTooLong, "the body is longer than "+strconv.FormatInt(most, 10)+" bytes")
	}
	if err != nil {
		return code.New(code.BadBody, err.Error())
	}
	c.body = body
	c.hasBody = c.in.ContentLength > 0 || len(body) > 0 || c.in.Header.Get("Content-Length") != "" || len(c.in.TransferEncoding) > 0
	c.header = endToEnd(c.in.Header)
	return nil
}

// endToEnd copies headers without those of one connection.
func endToEnd(h http.Header) http.Header {
	clean := make(http.Header, len(h))
	named := h.Values("Connection")
	for name, values := range h {
		if !slices.Contains(connectionHeaders, name) {
			clean[name] = values
		}
	}
	for _, field := range named {
		for _, name := range splitList(field) {
			clean.Del(name)
		}
	}
	return clean
}

// admit asks the team's limit.
func (c *call) admit() (time.Duration, bool) {
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
	c.trail.cost = cost
	team := limit.TeamLimit{Name: c.team.Name, Rate: c.team.Rate, Burst: c.team.Burst}
	d := c.f.limits.Allow(team, limit.Request{Cost: cost, Priority: c.route.Priority}, c.f.clock())
	if !d.Admitted {
		c.trail.note(fmt.Sprintf("limit: held %.0f, needed %.0f for a cost of %.0f; rate %.0f; part %.2f; %.1f hosts reckoned with",
			d.Available, d.Required, cost, c.team.Rate, d.Share, d.Contenders))
	}
	return d.Wait, d.Admitted
}
