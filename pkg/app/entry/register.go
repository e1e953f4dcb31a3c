package entry

import (
	"context"
	"encoding/json"

	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/table"
)

// nodePrefix is the key prefix of registrations in the table service. A node registers once per
// start.
const nodePrefix = "node/"

// nodeRecord is the JSON value of a registration.
type nodeRecord struct {
	ID            string `json:"id"`
	Incarnation   int64  `json:"incarnation"`
	DataCenter    string `json:"data_center"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

func (s nodeRecord) toNode() membership.Node {
	return membership.Node{
		ID: s.ID, Incarnation: s.Incarnation, Status: membership.Alive, DataCenter: s.DataCenter, Region: s.Region,
		PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
	}
}

// register writes this node's registration, by which nodes that start later find it.
func (a *App) register(ctx context.Context) error {
	row := nodeRecord{
		ID: a.self.ID, Incarnation: a.self.Incarnation, DataCenter: a.self.DataCenter, Region: a.self.Region,
		PeerAddress: a.self.PeerAddress, CallerAddress: a.self.CallerAddress,
	}
	encoded, err := json.Marshal(row)
	if err != nil {
		return err
	}
	outcome := a.writer.Commit(ctx, table.Write{Key: nodePrefix + a.self.ID, Value: encoded, If: table.Always{}})
	switch outcome := outcome.(type) {
	case table.Refused:
		return outcome.Err
	case table.Unknown:
		return outcome.Err
	}
	return nil
}

// listPageSize is the maximum number of registrations in one read.
const listPageSize = 500

// registeredNodes returns all other nodes that ever registered, dead ones included.
func (a *App) registeredNodes(ctx context.Context) ([]membership.Node, error) {
	var nodes []membership.Node
	after := ""
	for {
		rows, err := a.guardedStore.List(ctx, nodePrefix, after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			var stored nodeRecord
			if json.Unmarshal(row.Value, &stored) == nil && stored.ID != a.self.ID {
				nodes = append(nodes, stored.toNode())
			}
		}
		if len(rows) < listPageSize {
			return nodes, nil
		}
	}
}

// publishRegisteredNodes publishes the registered nodes to the mesh. They count as alive until
// their neighbours find that they do not answer.
func (a *App) publishRegisteredNodes(ctx context.Context) error {
	nodes, err := a.registeredNodes(ctx)
	if err != nil {
		return err
	}
	a.peers.Send(a.mesh.Publish(peer.Update{Nodes: nodes}, now()))
	return nil
}
