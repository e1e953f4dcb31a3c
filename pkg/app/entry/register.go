package entry

import (
	"context"
	"encoding/json"

	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/table"
)

// nodePrefix is where nodes register in the table service, once per start.
const nodePrefix = "node/"

// storedNode is a registration's JSON.
type storedNode struct {
	ID            string `json:"id"`
	Incarnation   int64  `json:"incarnation"`
	DataCenter    string `json:"data_center"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

func (s storedNode) domain() membership.Node {
	return membership.Node{
		ID: s.ID, Incarnation: s.Incarnation, Status: membership.Alive, DataCenter: s.DataCenter, Region: s.Region,
		PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
	}
}

// register writes this node's row, so that others that start find it.
func (a *App) register(ctx context.Context) error {
	row := storedNode{
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

// listPage is how many registrations one read asks for.
const listPage = 500

// registered lists the nodes that ever registered, living or not.
func (a *App) registered(ctx context.Context) ([]membership.Node, error) {
	var nodes []membership.Node
	after := ""
	for {
		rows, err := a.guard.List(ctx, nodePrefix, after, listPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			var stored storedNode
			if json.Unmarshal(row.Value, &stored) == nil && stored.ID != a.self.ID {
				nodes = append(nodes, stored.domain())
			}
		}
		if len(rows) < listPage {
			return nodes, nil
		}
	}
}

// discover tells the mesh of registered nodes. They are taken to live until
// their neighbours find that they do not answer.
func (a *App) discover(ctx context.Context) error {
	nodes, err := a.registered(ctx)
	if err != nil {
		return err
	}
	a.peers.Send(a.mesh.Publish(peer.Update{Nodes: nodes}, now()))
	return nil
}
