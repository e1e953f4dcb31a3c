package peer_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
)

// newLargeMesh returns a mesh that knows a fleet of the planned size: 420 nodes and 1900 endpoints.
func newLargeMesh() (*peer.Mesh, *endpoint.Directory, []endpoint.Info) {
	nodes, directory := membership.NewTable(), endpoint.NewDirectory()
	m := peer.NewMesh(membership.Node{ID: "n0", Incarnation: 1, DataCenter: "dc0"}, nodes, directory, config.NewHolder())
	var update peer.Update
	for i := 1; i < 420; i++ {
		update.Nodes = append(update.Nodes, membership.Node{
			ID: fmt.Sprintf("n%d", i), Incarnation: 1, Status: membership.Alive, DataCenter: fmt.Sprintf("dc%d", i%19),
			PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:7001",
		})
	}
	for i := range 1900 {
		update.Endpoints = append(update.Endpoints, endpoint.Info{
			ID: fmt.Sprintf("e%d", i), Incarnation: 1, State: endpoint.Live, Counter: 1, DataCenter: fmt.Sprintf("dc%d", i%19),
			Class: "standard", Kind: endpoint.Model, Model: "narrative-70b", Version: "1", Address: "10.0.0.1:8000",
		})
	}
	m.Publish(update, time.UnixMilli(1))
	for i := range 6 {
		m.LinkUp(peer.LinkID(i+1), peer.Hello{Node: update.Nodes[i], Role: peer.RoleEntry}, time.UnixMilli(1))
	}
	return m, directory, update.Endpoints
}

func BenchmarkTick420(b *testing.B) {
	m, _, _ := newLargeMesh()
	now := time.UnixMilli(1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Tick(now)
	}
}

func BenchmarkReceiveDigest420(b *testing.B) {
	m, _, _ := newLargeMesh()
	out := m.Tick(time.UnixMilli(2))
	b.ReportAllocs()
	for b.Loop() {
		m.Receive(1, out[0].Message, time.UnixMilli(3))
	}
}

func BenchmarkNodesToDial420(b *testing.B) {
	m, _, _ := newLargeMesh()
	for b.Loop() {
		m.NodesToDial(1)
	}
}

func BenchmarkEndpointUpdate1900(b *testing.B) {
	m, _, infos := newLargeMesh()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		info := infos[i%len(infos)]
		info.Counter = int64(i + 2)
		m.Receive(1, peer.Update{Endpoints: []endpoint.Info{info}}, time.UnixMilli(3))
		i++
	}
}

func BenchmarkDecodeFullState(b *testing.B) {
	_, _, infos := newLargeMesh()
	data, err := peer.Encode(peer.Update{Endpoints: infos})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		if _, err := peer.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
