// Package clouds is the stand-in of the cloud API and of the list of hosts. It
// knows the hosts that registered with it and ends them by a function it is
// given, so that it serves one process and many alike.
package clouds

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"ironhollow/pkg/cloud"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/hostlist"
	"ironhollow/pkg/httpx"
)

// Stopper ends a host at once, as a cloud does when its notice is over.
type Stopper func(ref endpoint.Ref, admin string)

// Starter starts a host and registers it; false refuses the order.
type Starter func(order cloud.Order) (host string, ok bool)

// Cloud is the stand-in.
type Cloud struct {
	lag   time.Duration
	stop  Stopper
	start Starter

	mu      sync.Mutex
	hosts   map[string]host
	notices []cloud.WireNotice
	started map[string]string
}

// host is a host and what the lagging list says of it.
type host struct {
	info  endpoint.Info
	admin string
	// listed is what the list shows from listedAt on; before that, previous.
	listed   endpoint.Info
	previous *endpoint.Info
	listedAt time.Time
}

// New returns a cloud whose list shows changes after lag.
func New(lag time.Duration, stop Stopper, start Starter) *Cloud {
	return &Cloud{lag: lag, stop: stop, start: start, hosts: map[string]host{}, started: map[string]string{}}
}

// RegisterHost adds a host, or a later incarnation of one.
func (c *Cloud) RegisterHost(info endpoint.Info, admin string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[info.ID] = host{info: info, admin: admin, listed: info, listedAt: time.Now()}
}

// Reclaim gives notice to all hosts for which match is true and ends them when
// it is over. It returns how many there were.
func (c *Cloud) Reclaim(notice time.Duration, match func(endpoint.Info) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	leaveBy := time.Now().Add(notice)
	for id, h := range c.hosts {
		if h.info.State != endpoint.Live || !match(h.info) {
			continue
		}
		count++
		h.info.LeaveBy = leaveBy
		c.setState(id, h, endpoint.Leaving)
		c.notices = append(c.notices, cloud.WireNotice{
			Sequence: int64(len(c.notices)) + 1, Host: id, Incarnation: h.info.Incarnation, LeaveBy: leaveBy.UnixMilli(),
		})
		ref := h.info.Ref()
		time.AfterFunc(notice, func() { c.StopHost(ref) })
	}
	return count
}

// StopHost ends one incarnation of a host at once.
func (c *Cloud) StopHost(ref endpoint.Ref) {
	c.mu.Lock()
	h, ok := c.hosts[ref.ID]
	if !ok || h.info.Incarnation != ref.Incarnation || h.info.State == endpoint.Gone {
		c.mu.Unlock()
		return
	}
	c.setState(ref.ID, h, endpoint.Gone)
	c.mu.Unlock()
	c.stop(ref, h.admin)
}

func (c *Cloud) setState(id string, h host, state endpoint.State) {
	before := h.listed
	h.previous = &before
	h.info.State = state
	h.listed = h.info
	h.listedAt = time.Now().Add(c.lag)
	c.hosts[id] = h
}

// Hosts returns the list, as late as it is.
func (c *Cloud) Hosts(dataCenter string) []endpoint.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	var infos []endpoint.Info
	for _, h := range c.hosts {
		shown := h.listed
		if h.previous != nil && time.Now().Before(h.listedAt) {
			shown = *h.previous
		}
		if dataCenter == "" || shown.DataCenter == dataCenter {
			infos = append(infos, shown)
		}
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	return infos
}

// Register serves the cloud, the list, and the stand-in's own controls under
// /standin on a mux.
func (c *Cloud) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/notices", c.serveNotices)
	mux.HandleFunc("POST /v1/orders", c.serveOrder)
	mux.HandleFunc("DELETE /v1/hosts/{id}", c.serveStop)
	mux.HandleFunc("GET /v1/hosts", c.serveHosts)
	mux.HandleFunc("POST /standin/hosts", c.serveRegister)
	mux.HandleFunc("POST /standin/reclaim", c.serveReclaim)
}

func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	from := min(int(after), len(c.notices))
	list := append([]cloud.WireNotice{}, c.notices[from:]...)
	c.mu.Unlock()
	httpx.WriteJSON(w, http.StatusOK, list)
}

func (c *Cloud) serveOrder(w http.ResponseWriter, r *http.Request) {
	var sent cloud.WireOrder
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	id, repeated := c.started[sent.Request]
	c.mu.Unlock()
	if !repeated {
		var ok bool
		id, ok = c.start(cloud.Order{Request: sent.Request, DataCenter: sent.DataCenter, Class: sent.Class, Reclaimable: sent.Reclaimable})
		if !ok {
			http.Error(w, "no capacity", http.StatusConflict)
			return
		}
		c.mu.Lock()
		c.started[sent.Request] = id
		c.mu.Unlock()
	}
	httpx.WriteJSON(w, http.StatusOK, cloud.WireStarted{Host: id})
}

func (c *Cloud) serveStop(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	h, ok := c.hosts[r.PathValue("id")]
	c.mu.Unlock()
	if ok {
		c.StopHost(h.info.Ref())
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cloud) serveHosts(w http.ResponseWriter, r *http.Request) {
	list := []hostlist.Host{}
	for _, info := range c.Hosts(r.URL.Query().Get("data_center")) {
		list = append(list, hostlist.FromInfo(info))
	}
	httpx.WriteJSON(w, http.StatusOK, list)
}

// Registration is how a stand-in endpoint makes itself known.
type Registration struct {
	Host hostlist.Host `json:"host"`
	// Admin is where the endpoint's own controls listen.
	Admin string `json:"admin"`
}

func (c *Cloud) serveRegister(w http.ResponseWriter, r *http.Request) {
	var sent Registration
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.RegisterHost(sent.Host.Info(), sent.Admin)
	w.WriteHeader(http.StatusNoContent)
}

// ReclaimRequest asks the stand-in to reclaim hosts.
type ReclaimRequest struct {
	// Host or DataCenter says which.
	Host       string `json:"host,omitempty"`
	DataCenter string `json:"data_center,omitempty"`
	NoticeMS   int64  `json:"notice_ms"`
}

// ReclaimResult says how many hosts got notice.
type ReclaimResult struct {
	Count int `json:"count"`
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var sent ReclaimRequest
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	count := c.Reclaim(time.Duration(sent.NoticeMS)*time.Millisecond, func(i endpoint.Info) bool {
		if sent.Host != "" {
			return i.ID == sent.Host
		}
		return i.Reclaimable && i.DataCenter == sent.DataCenter
	})
	httpx.WriteJSON(w, http.StatusOK, ReclaimResult{count})
}
