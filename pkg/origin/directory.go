package origin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the exchange with other hosts.
const (
	// copies is the number of other hosts that get a record.
	copies = 3
	// firstAsked is the number of hosts that are asked at first: the record's hosts, and one more, as
	// the host that recorded the stream may rank among them. maxAsked are asked in all: hosts differ in
	// whom they know.
	firstAsked, maxAsked = copies + 1, 2 * (copies + 1)
	// askInterval is the time after which hosts that have not answered are asked again, and others too.
	// askTimeout bounds the search: a caller that is refused can try another host.
	askInterval = 60 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// maxSearches bounds the searches at a time: callers may name any attempt.
	maxSearches = 256
)

// Peer is another host.
type Peer struct {
	// Node is the name of the host, which stays when its process is restarted.
	Node, Address string
}

// Sender sends datagrams to the host at an address. They may be lost.
type Sender interface {
	// SendOrigins sends records, and the keys of which this host has none.
	SendOrigins(records []Record, unknown []Key, to string)
	// QueryOrigin asks for the record of a key.
	QueryOrigin(key Key, to string)
}

// Directory finds where streams began, at this host or by asking others. It is safe for concurrent use.
type Directory struct {
	// self is the address of this host.
	self   string
	peers  func() []Peer
	sender Sender
	clock  func() time.Time
	table  *table

	mu sync.Mutex
	// searches holds the channels of the searches in progress.
	searches      map[Key][]chan answer
	searchesCount int
}

// answer is what another host has sent about a key.
type answer struct {
	from   string
	record Record
	known  bool
}

// New returns a directory. self is the address of this host, peers returns the other hosts to which callers
// are sent.
func New(self string, peers func() []Peer, sender Sender, clock func() time.Time) *Directory {
	return &Directory{self: self, peers: peers, sender: sender, clock: clock, table: newTable(), searches: map[Key][]chan answer{}}
}

// Record records where a stream that this host relays began, here and at other hosts. age is the age of the request that
// it relays, life how long the record is needed.
func (d *Directory) Record(key Key, source Source, age, life time.Duration) {
	now := d.clock()
	d.table.merge(Record{Key: key, Source: source, Life: life, Host: d.self, HostAge: age}, now)
	record, _ := d.table.find(key, now)
	for _, p := range d.ranked(key, copies) {
		d.sender.SendOrigins([]Record{record}, nil, p.Address)
	}
}

// TakeUp records that the request of another host, of the given age, resumes a stream. It returns the other host that
// relays the stream by the record here, empty if there is none, and whether a later request has resumed it at another
// host already.
func (d *Directory) TakeUp(key Key, host string, age time.Duration) (previous string, isOutdated bool) {
	now := d.clock()
	r, ok := d.table.find(key, now)
	if !ok {
		return "", false
	}
	if r.Host != "" && r.Host != host && r.HostAge < age {
		return "", true
	}
	previous = d.findingOf(r, "", 0).Host
	r.Host, r.HostAge = host, age
	d.table.merge(r, now)
	return previous, false
}

// Self returns the address of this host.
func (d *Directory) Self() string { return d.self }

// ranked returns the hosts that hold the records of a key, by rendezvous hashing, so that hosts that
// come and go change few of them.
func (d *Directory) ranked(key Key, count int) []Peer {
	type weighted struct {
		peer   Peer
		weight uint64
	}
	var all []weighted
	for _, p := range d.peers() {
		all = append(all, weighted{p, xxhash.Sum64(append([]byte(p.Node), key[:]...))})
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	peers := make([]Peer, 0, count)
	for _, w := range all[:min(count, len(all))] {
		peers = append(peers, w.peer)
	}
	return peers
}

// Apply applies what the host at an address has sent. The sender of a record that conflicts with one of
// this host is sent the result.
func (d *Directory) Apply(records []Record, unknown []Key, from string) {
	now := d.clock()
	for _, r := range records {
		d.table.merge(r, now)
		d.deliver(r.Key, answer{from, r, true})
		if merged, ok := d.table.find(r.Key, now); ok && merged.Conflicts && !r.Conflicts {
			d.sender.SendOrigins([]Record{merged}, nil, from)
		}
	}
	for _, key := range unknown {
		d.deliver(key, answer{from: from})
	}
}

func (d *Directory) deliver(key Key, a answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, search := range d.searches[key] {
		select {
		case search <- a:
		default:
			// The search has more answers than it asked for.
		}
	}
}

// Answer answers the queries of the host at an address.
func (d *Directory) Answer(keys []Key, from string) {
	now := d.clock()
	var records []Record
	var unknown []Key
	for _, key := range keys {
		if r, ok := d.table.find(key, now); ok {
			records = append(records, r)
		} else {
			unknown = append(unknown, key)
		}
	}
	if len(records)+len(unknown) > 0 {
		d.sender.SendOrigins(records, unknown, from)
	}
}

// Result is the result of a search.
type Result int

// The results.
const (
	// Known means that the stream's origin was found.
	Known Result = iota
	// Unknown means that no host that was asked has a record.
	Unknown
	// Unanswered means that none has, and that some did not answer.
	Unanswered
	// Conflicting means that several streams began under the key, at different sources.
	Conflicting
	// Busy means that this host runs too many searches.
	Busy
)

// String returns the name of the result.
func (r Result) String() string {
	switch r {
	case Known:
		return "known"
	case Unknown:
		return "unknown"
	case Unanswered:
		return "unanswered"
	case Conflicting:
		return "conflicting"
	case Busy:
		return "busy"
	}
	return "invalid"
}

// Finding is the outcome of a search.
type Finding struct {
	Result Result
	// Source and Age are those of the record, if there is one.
	Source Source
	Age    time.Duration
	// Host is the address of another host that relays the stream, or did so last, empty if none is known.
	Host string
	// From is the address of the host that had it, empty if this one did. Asked is the number of hosts
	// asked.
	From  string
	Asked int
}

func (d *Directory) findingOf(r Record, from string, asked int) Finding {
	f := Finding{Result: Known, Source: r.Source, Age: r.Age, From: from, Asked: asked}
	if r.Host != d.self {
		f.Host = r.Host
	}
	if r.Conflicts {
		f.Result, f.Source = Conflicting, Source{}
	}
	return f
}

// Find finds where a stream began.
func (d *Directory) Find(ctx context.Context, key Key) Finding {
	if r, ok := d.table.find(key, d.clock()); ok {
		return d.findingOf(r, "", 0)
	}
	answers := make(chan answer, maxAsked)
	if !d.addSearch(key, answers) {
		return Finding{Result: Busy}
	}
	defer d.removeSearch(key, answers)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	again := time.NewTicker(askInterval)
	defer again.Stop()
	candidates := d.ranked(key, maxAsked)
	asked := d.ask(key, candidates, 0, firstAsked)
	silent := slices.Clone(candidates[:asked])
	for {
		if len(silent) == 0 {
			// All answered that they have no record.
			if asked == len(candidates) {
				return Finding{Result: Unknown, Asked: asked}
			}
			asked += d.ask(key, candidates, asked, maxAsked)
			silent = slices.Clone(candidates[firstAsked:asked])
		}
		select {
		case a := <-answers:
			if a.known {
				return d.findingOf(a.record, a.from, asked)
			}
			silent = slices.DeleteFunc(silent, func(p Peer) bool { return p.Address == a.from })
		case <-again.C:
			d.ask(key, silent, 0, len(silent))
			more := d.ask(key, candidates, asked, maxAsked)
			silent = append(silent, candidates[asked:asked+more]...)
			asked += more
		case <-ctx.Done():
			return Finding{Result: Unanswered, Asked: asked}
		}
	}
}

// ask asks the peers from first up to limit, and returns how many there are.
func (d *Directory) ask(key Key, peers []Peer, first, limit int) int {
	list := peers[first:min(limit, len(peers))]
	for _, p := range list {
		d.sender.QueryOrigin(key, p.Address)
	}
	return len(list)
}

func (d *Directory) addSearch(key Key, answers chan answer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.searchesCount >= maxSearches {
		return false
	}
	d.searchesCount++
	d.searches[key] = append(d.searches[key], answers)
	return true
}

func (d *Directory) removeSearch(key Key, answers chan answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.searchesCount--
	d.searches[key] = slices.DeleteFunc(d.searches[key], func(c chan answer) bool { return c == answers })
	if len(d.searches[key]) == 0 {
		delete(d.searches, key)
	}
}
