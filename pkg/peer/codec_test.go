package peer_test

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
)

var messages = []peer.Message{
	peer.Hello{Node: membership.Node{ID: "n", Incarnation: 5, Status: membership.Alive, DataCenter: "d", Region: "r", PeerAddress: "p", CallerAddress: "c"}, Role: peer.RoleEntry},
	peer.Digest{Revision: 7, Nodes: 1<<63 - 1, Endpoints: 3, Demands: []peer.Demand{{Team: 1 << 31, Value: 2.5}}},
	peer.Pull{After: 3, Nodes: []uint64{1, 1<<64 - 1}, Endpoints: []uint64{}},
	peer.Update{
		Nodes:     []membership.Node{{ID: "n", Incarnation: 1, Status: membership.Suspect, Leaving: true, Counter: 4, HasControl: true, Load: 7}},
		Endpoints: []endpoint.Info{{ID: "e", Incarnation: 2, State: endpoint.Leaving, Counter: 1, Kind: endpoint.Model, LeaveBy: time.UnixMilli(99), Adapter: "a"}},
		Changes:   []config.Change{{Revision: 2, Snapshot: true, Sections: []fleet.Section{fleet.NewSection("team", "t", `{}`)}}},
	},
	peer.Accept{Request: 1, Rows: []peer.AcceptRow{{Key: "k", Value: []byte("v")}}},
	peer.Accepted{Request: 1, Outcome: peer.AcceptConflict, Version: 8},
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, want := range messages {
		data, err := peer.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := peer.Decode(data)
		if err != nil {
			t.Fatalf("%T: %v", want, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0xa1, 0x61, 'a'}, 20), 0xa0)
	cases := map[string][]byte{
		"empty":                   {},
		"no message kind":         {0xa0},
		"nested too deeply":       deep,
		"unknown field":           {0xa1, 0x61, 'z', 0x01},
		"longer than the limit":   make([]byte, peer.MaxMessageBytes+1),
		"indefinite-length array": {0xa1, 0x64, 'n', 'e', 'w', 's', 0x9f, 0x01},
	}
	for name, data := range cases {
		if _, err := peer.Decode(data); !errors.Is(err, peer.ErrInvalidMessage) {
			t.Errorf("%s: got %v, want ErrInvalidMessage", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		data, err := peer.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := peer.Decode(data)
		if err != nil {
			return
		}
		if _, err := peer.Encode(m); err != nil {
			t.Errorf("decoded message cannot be encoded: %v", err)
		}
	})
}
