package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer/peerschema"
)

// Limits on what is decoded.
const (
	// MaxMessage is the longest message, in bytes.
	MaxMessage  = 8 << 20
	maxElements = 1 << 16
	maxNesting  = 8
)

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  maxElements,
		MaxMapPairs:       64,
		MaxNestedLevels:   maxNesting,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		TagsMd:            cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// ErrMessage says that a message can't be understood.
var ErrMessage = errors.New("peer: bad message")

// Encode gives a message as CBOR.
func Encode(m Message) ([]byte, error) {
	return cbor.Marshal(toWire(m))
}

// Decode reads a message. Errors are ErrMessage.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessage {
		return nil, fmt.Errorf("%w: %d bytes", ErrMessage, len(data))
	}
	var w peerschema.Message
	if err := decoding.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return fromWire(w)
}

func toWire(m Message) peerschema.Message {
	switch m := m.(type) {
	case Hello:
		return peerschema.Message{Hello: &peerschema.Hello{
			Node: m.Node.ID, Incarnation: int(m.Node.Incarnation), Role: string(m.Role), DataCenter: m.Node.DataCenter,
			Region: m.Node.Region, PeerAddress: m.Node.PeerAddress, CallerAddress: m.Node.CallerAddress,
		}}
	case Digest:
		return peerschema.Message{Digest: digestToWire(m)}
	case Pull:
		return peerschema.Message{Pull: &peerschema.Pull{After: int(m.After), Nodes: ints(m.Nodes), Endpoints: ints(m.Endpoints)}}
	case News:
		return peerschema.Message{News: newsToWire(m)}
	case Accept:
		rows := make([]peerschema.AcceptRow, len(m.Rows))
		for i, r := range m.Rows {
			rows[i] = peerschema.AcceptRow{Key: r.Key, Value: string(r.Value)}
		}
		return peerschema.Message{Accept: &peerschema.Accept{Request: int(m.Request), Rows: rows}}
	case Accepted:
		return peerschema.Message{Accepted: &peerschema.Accepted{Request: int(m.Request), Outcome: int(m.Outcome), Version: int(m.Version)}}
	}
	panic("peer: unknown message type")
}

func digestToWire(m Digest) *peerschema.Digest {
	d := &peerschema.Digest{Revision: int(m.Revision), Nodes: int(m.Nodes), Endpoints: int(m.Endpoints)}
	for _, demand := range m.Demands {
		d.Teams = append(d.Teams, int(demand.Team))
		d.Demands = append(d.Demands, demand.Value)
	}
	return d
}

func newsToWire(m News) *peerschema.News {
	w := &peerschema.News{}
	for _, n := range m.Nodes {
		w.Nodes = append(w.Nodes, peerschema.Node{
			Node: n.ID, Incarnation: int(n.Incarnation), Status: int(n.Status), Leaving: n.Leaving, Counter: int(n.Counter),
			DataCenter: n.DataCenter, Region: n.Region, PeerAddress: n.PeerAddress, CallerAddress: n.CallerAddress,
			Ready: n.Ready, Control: n.HasControl, Load: n.Load,
		})
	}
	for _, i := range m.Endpoints {
		w.Endpoints = append(w.Endpoints, endpointToWire(i))
	}
	for _, c := range m.Changes {
		change := peerschema.Change{Revision: int(c.Revision), Whole: c.Snapshot, Sections: []peerschema.Section{}}
		for _, s := range c.Sections {
			change.Sections = append(change.Sections, peerschema.Section{Kind: s.Kind(), Name: s.Name(), Body: s.Body()})
		}
		w.Changes = append(w.Changes, change)
	}
	return w
}

func endpointToWire(i endpoint.Info) peerschema.Endpoint {
	w := peerschema.Endpoint{
		Endpoint: i.ID, Incarnation: int(i.Incarnation), State: int(i.State), Counter: int(i.Counter),
		DataCenter: i.DataCenter, Class: i.Class, Kind: string(i.Kind), Service: i.Service, Model: i.Model,
		Version: i.Version, Adapter: i.Adapter, Address: i.Address, ChecksOrders: i.ChecksOrders, Reclaimable: i.Reclaimable,
	}
	if !i.LeaveBy.IsZero() {
		w.LeaveBy = int(i.LeaveBy.UnixMilli())
	}
	return w
}

func fromWire(w peerschema.Message) (Message, error) {
	var found []Message
	if w.Hello != nil {
		found = append(found, Hello{Role: Role(w.Hello.Role), Node: membership.Node{
			ID: w.Hello.Node, Incarnation: int64(w.Hello.Incarnation), Status: membership.Alive, DataCenter: w.Hello.DataCenter,
			Region: w.Hello.Region, PeerAddress: w.Hello.PeerAddress, CallerAddress: w.Hello.CallerAddress,
		}})
	}
	if w.Digest != nil {
		found = append(found, digestFromWire(w.Digest))
	}
	if w.Pull != nil {
		found = append(found, Pull{int64(w.Pull.After), uints(w.Pull.Nodes), uints(w.Pull.Endpoints)})
	}
	if w.News != nil {
		found = append(found, newsFromWire(w.News))
	}
	if w.Accept != nil {
		accept := Accept{Request: int64(w.Accept.Request)}
		for _, r := range w.Accept.Rows {
			accept.Rows = append(accept.Rows, AcceptRow{r.Key, []byte(r.Value)})
		}
		found = append(found, accept)
	}
	if w.Accepted != nil {
		found = append(found, Accepted{int64(w.Accepted.Request), AcceptOutcome(w.Accepted.Outcome), int64(w.Accepted.Version)})
	}
	if len(found) != 1 {
		return nil, fmt.Errorf("%w: %d kinds in one", ErrMessage, len(found))
	}
	return found[0], nil
}

func digestFromWire(w *peerschema.Digest) Digest {
	d := Digest{Revision: int64(w.Revision), Nodes: uint64(w.Nodes), Endpoints: uint64(w.Endpoints)}
	for i := range min(len(w.Teams), len(w.Demands)) {
		d.Demands = append(d.Demands, Demand{uint32(w.Teams[i]), w.Demands[i]})
	}
	return d
}

func newsFromWire(w *peerschema.News) News {
	var news News
	for _, n := range w.Nodes {
		news.Nodes = append(news.Nodes, membership.Node{
			ID: n.Node, Incarnation: int64(n.Incarnation), Status: membership.Status(n.Status), Leaving: n.Leaving,
			Counter: int64(n.Counter), DataCenter: n.DataCenter, Region: n.Region, PeerAddress: n.PeerAddress,
			CallerAddress: n.CallerAddress, Ready: n.Ready, HasControl: n.Control, Load: n.Load,
		})
	}
	for _, e := range w.Endpoints {
		news.Endpoints = append(news.Endpoints, endpointFromWire(e))
	}
	for _, c := range w.Changes {
		change := config.Change{Revision: int64(c.Revision), Snapshot: c.Whole}
		for _, s := range c.Sections {
			change.Sections = append(change.Sections, fleet.NewSection(s.Kind, s.Name, s.Body))
		}
		news.Changes = append(news.Changes, change)
	}
	return news
}

func endpointFromWire(e peerschema.Endpoint) endpoint.Info {
	info := endpoint.Info{
		ID: e.Endpoint, Incarnation: int64(e.Incarnation), State: endpoint.State(e.State), Counter: int64(e.Counter),
		DataCenter: e.DataCenter, Class: e.Class, Kind: endpoint.Kind(e.Kind), Service: e.Service, Model: e.Model,
		Version: e.Version, Adapter: e.Adapter, Address: e.Address, ChecksOrders: e.ChecksOrders, Reclaimable: e.Reclaimable,
	}
	if e.LeaveBy != 0 {
		info.LeaveBy = time.UnixMilli(int64(e.LeaveBy))
	}
	return info
}

func ints(sums []uint64) []int {
	list := make([]int, len(sums))
	for i, s := range sums {
		list[i] = int(s)
	}
	return list
}

func uints(list []int) []uint64 {
	sums := make([]uint64, len(list))
	for i, n := range list {
		sums[i] = uint64(n)
	}
	return sums
}
