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

// Limits of decoding.
const (
	// MaxMessageBytes is the maximum length of an encoded message.
	MaxMessageBytes  = 8 << 20
	maxArrayElements = 1 << 16
	maxNestedLevels  = 8
)

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       64,
		MaxNestedLevels:   maxNestedLevels,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		TagsMd:            cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return mode
}()

// ErrInvalidMessage is returned for a message that cannot be decoded.
var ErrInvalidMessage = errors.New("peer: invalid message")

// Encode encodes a message as CBOR.
func Encode(m Message) ([]byte, error) {
	return cbor.Marshal(toWire(m))
}

// Decode decodes a message. All errors wrap ErrInvalidMessage.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes is too long", ErrInvalidMessage, len(data))
	}
	var w peerschema.Message
	if err := decodeMode.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
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
		return peerschema.Message{Pull: &peerschema.Pull{After: int(m.After), Nodes: sumsToInts(m.Nodes), Endpoints: sumsToInts(m.Endpoints)}}
	case Update:
		return peerschema.Message{News: updateToWire(m)}
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

func updateToWire(m Update) *peerschema.News {
	w := &peerschema.News{}
	for _, n := range m.Nodes {
		w.Nodes = append(w.Nodes, peerschema.Node{
			Node: n.ID, Incarnation: int(n.Incarnation), Status: int(n.Status), Leaving: n.Leaving, Counter: int(n.Counter),
			DataCenter: n.DataCenter, Region: n.Region, PeerAddress: n.PeerAddress, CallerAddress: n.CallerAddress,
			Ready: n.Ready, Control: n.HasControl, Load: n.Load,
		})
	}
	for _, info := range m.Endpoints {
		w.Endpoints = append(w.Endpoints, endpointToWire(info))
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

func endpointToWire(info endpoint.Info) peerschema.Endpoint {
	w := peerschema.Endpoint{
		Endpoint: info.ID, Incarnation: int(info.Incarnation), State: int(info.State), Counter: int(info.Counter),
		DataCenter: info.DataCenter, Class: info.Class, Kind: string(info.Kind), Service: info.Service, Model: info.Model,
		Version: info.Version, Adapter: info.Adapter, Address: info.Address, ChecksOrders: info.ChecksOrders, Reclaimable: info.Reclaimable,
	}
	if !info.LeaveBy.IsZero() {
		w.LeaveBy = int(info.LeaveBy.UnixMilli())
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
		found = append(found, Pull{int64(w.Pull.After), intsToSums(w.Pull.Nodes), intsToSums(w.Pull.Endpoints)})
	}
	if w.News != nil {
		found = append(found, updateFromWire(w.News))
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
		return nil, fmt.Errorf("%w: %d kinds in one message, want 1", ErrInvalidMessage, len(found))
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

func updateFromWire(w *peerschema.News) Update {
	var update Update
	for _, n := range w.Nodes {
		update.Nodes = append(update.Nodes, membership.Node{
			ID: n.Node, Incarnation: int64(n.Incarnation), Status: membership.Status(n.Status), Leaving: n.Leaving,
			Counter: int64(n.Counter), DataCenter: n.DataCenter, Region: n.Region, PeerAddress: n.PeerAddress,
			CallerAddress: n.CallerAddress, Ready: n.Ready, HasControl: n.Control, Load: n.Load,
		})
	}
	for _, e := range w.Endpoints {
		update.Endpoints = append(update.Endpoints, endpointFromWire(e))
	}
	for _, c := range w.Changes {
		change := config.Change{Revision: int64(c.Revision), Snapshot: c.Whole}
		for _, s := range c.Sections {
			change.Sections = append(change.Sections, fleet.NewSection(s.Kind, s.Name, s.Body))
		}
		update.Changes = append(update.Changes, change)
	}
	return update
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

func sumsToInts(sums []uint64) []int {
	result := make([]int, len(sums))
	for i, s := range sums {
		result[i] = int(s)
	}
	return result
}

func intsToSums(values []int) []uint64 {
	sums := make([]uint64, len(values))
	for i, n := range values {
		sums[i] = uint64(n)
	}
	return sums
}
