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

// planned returns a mesh that knows the planned fleet.
func planned() (*peer.Mesh, *endpoint.Directory, []endpoint.Info) {
	nodes, directory := membership.NewTable(), endpoint.NewDirectory()
	m := peer.NewMesh(membership.Node{ID: "n0", Incarnation: 1, DataCenter: "dc0"}, nodes, directory, config.NewHolder())
	var news peer.News
	for i := 1; i < 420; i++ {
		news.Nodes = append(news.Nodes, membership.Node{
			ID: fmt.Sprintf("n%d", i), Incarnation: 1, Status: membership.Alive, DataCenter: fmt.Sprintf("dc%d", i%19),
			PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:7001",
		})
	}
	for i := range 1900 {
		news.Endpoints = append(news.Endpoints, endpoint.Info{
			ID: fmt.Sprintf("e%d", i), Incarnation: 1, State: endpoint.Live, Counter: 1, DataCenter: fmt.Sprintf("dc%d", i%19),
			Class: "standard", Kind: endpoint.Model, Model: "narrative-70b", Version: "1", Address: "10.0.0.1:8000",
		})
	}
	m.Tell(news, time.UnixMilli(1))
	for i := range 6 {
		m.Up(peer.Link(i+1), peer.Hello{Node: news.Nodes[i], Role: peer.RoleEntry}, time.UnixMilli(1))
	}
	return m, directory, news.Endpoints
}

func BenchmarkTick420(b *testing.B) {
	m, _, _ := planned()
	now := time.UnixMilli(1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Tick(now)
	}
}

func BenchmarkDigest420(b *testing.B) {
	m, _, _ := planned()
	out := m.Tick(time.UnixMilli(2))
	b.ReportAllocs()
	for b.Loop() {
		m.Receive(1, out[0].Message, time.UnixMilli(3))
	}
}

func BenchmarkDial420(b *testing.B) {
	m, _, _ := planned()
	for b.Loop() {
		m.Dial(1)
	}
}

func BenchmarkEndpointNews1900(b *testing.B) {
	m, _, infos := planned()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		info := infos[i%len(infos)]
		info.Counter = int64(i + 2)
		m.Receive(1, peer.News{Endpoints: []endpoint.Info{info}}, time.UnixMilli(3))
		i++
	}
}

func BenchmarkWholeState(b *testing.B) {
	_, _, infos := planned()
	data, err := peer.Encode(peer.News{Endpoints: infos})
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
