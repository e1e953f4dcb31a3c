// Package clouds implements a stand-in for the cloud API and the list of hosts. Hosts are
// registered with it; it starts and stops them through callbacks, so that it works both
// within one process and across processes.
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

// Stopper stops a host at once, as a cloud does when its notice has expired.
type Stopper func(ref endpoint.Ref, admin string)

// Starter starts a host and registers it; it returns false to refuse the order.
type Starter func(order cloud.Order) (host string, ok bool)

// Cloud simulates the cloud API and the list of hosts.
type Cloud struct {
	listLag time.Duration
	stop    Stopper
	start   Starter

	mu      sync.Mutex
	hosts   map[string]host
	notices []cloud.WireNotice
	// orders holds the orders by request ID.
	orders map[string]*order
}

// order is an order of a host. Its lock is held while the host is started, so that a repeated order waits.
type order struct {
	mu sync.Mutex
	// host is empty until a host has been started.
	host string
}

// host is a host together with its delayed entry in the list.
type host struct {
	info  endpoint.Info
	admin string
	// listed is the entry that the list shows from listedAt on; before that it shows
	// previous.
	listed   endpoint.Info
	previous *endpoint.Info
	listedAt time.Time
}

// New returns a cloud whose list of hosts shows changes after listLag.
func New(listLag time.Duration, stop Stopper, start Starter) *Cloud {
	return &Cloud{listLag: listLag, stop: stop, start: start, hosts: map[string]host{}, orders: map[string]*order{}}
}

// RegisterHost adds a host, or a later incarnation of one.
func (c *Cloud) RegisterHost(info endpoint.Info, admin string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[info.ID] = host{info: info, admin: admin, listed: info, listedAt: time.Now()}
}

// Reclaim gives notice to all live hosts for which match is true and stops them when the
// notice expires. It returns the number of these hosts.
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

// StopHost stops one incarnation of a host at once.
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
	previous := h.listed
	h.previous = &previous
	h.info.State = state
	h.listed = h.info
	h.listedAt = time.Now().Add(c.listLag)
	c.hosts[id] = h
}

// Hosts returns the list of hosts, which lags behind their actual states. An empty
// dataCenter selects all.
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

// Register adds handlers for the cloud API, the list of hosts and, under /standin, the
// stand-in's controls to mux.
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
	var wire cloud.WireOrder
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := c.orderOf(wire.RequestID)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.host == "" {
		id, ok := c.start(cloud.Order{RequestID: wire.RequestID, DataCenter: wire.DataCenter, Class: wire.Class, Reclaimable: wire.Reclaimable})
		if !ok {
			http.Error(w, "no capacity", http.StatusConflict)
			return
		}
		o.host = id
	}
	httpx.WriteJSON(w, http.StatusOK, cloud.WireOrderResponse{Host: o.host})
}

func (c *Cloud) orderOf(requestID string) *order {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.orders[requestID]
	if !ok {
		o = &order{}
		c.orders[requestID] = o
	}
	return o
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

// Registration is the request by which a stand-in endpoint registers its host.
type Registration struct {
	Host hostlist.Host `json:"host"`
	// Admin is the address of the endpoint's controls.
	Admin string `json:"admin"`
}

func (c *Cloud) serveRegister(w http.ResponseWriter, r *http.Request) {
	var registration Registration
	if err := json.NewDecoder(r.Body).Decode(&registration); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.RegisterHost(registration.Host.Info(), registration.Admin)
	w.WriteHeader(http.StatusNoContent)
}

// ReclaimRequest asks the stand-in to reclaim hosts.
type ReclaimRequest struct {
	// Host selects one host; without it, DataCenter selects its reclaimable hosts.
	Host       string `json:"host,omitempty"`
	DataCenter string `json:"data_center,omitempty"`
	NoticeMS   int64  `json:"notice_ms"`
}

// ReclaimResult holds the number of hosts that received notice.
type ReclaimResult struct {
	Count int `json:"count"`
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var request ReclaimRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	count := c.Reclaim(time.Duration(request.NoticeMS)*time.Millisecond, func(i endpoint.Info) bool {
		if request.Host != "" {
			return i.ID == request.Host
		}
		return i.Reclaimable && i.DataCenter == request.DataCenter
	})
	httpx.WriteJSON(w, http.StatusOK, ReclaimResult{count})
}
