package fleet

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ironhollow/pkg/fleet/fleetschema"
)

func (b *builder) addService(s Section) error {
	var w fleetschema.Service
	if err := json.Unmarshal([]byte(s.body), &w); err != nil {
		return err
	}
	calls := make([]CallPattern, 0, len(w.NotRepeated))
	for _, text := range w.NotRepeated {
		method, prefix, ok := strings.Cut(text, " ")
		if !ok || !strings.HasPrefix(prefix, "/") {
			return fmt.Errorf("not-repeated: got %q, valid: METHOD /path-prefix", text)
		}
		calls = append(calls, CallPattern{method, prefix})
	}
	service := Service{
		name:          w.Name,
		kind:          Kind(w.Kind),
		model:         w.Model,
		version:       w.Version,
		adapter:       w.Adapter,
		latencyTarget: w.LatencyTarget,
		tokenGap:      w.TokenGap,
		deadline:      w.Deadline,
		priority:      w.Priority,
		mayWait:       w.MayWait,
		maxTokens:     w.MaxTokens,
		notRepeated:   calls,
	}
	if service.kind == Model && service.model == "" {
		return fmt.Errorf("model: missing for a service of kind model")
	}
	if service.kind == Plain && service.model != "" {
		return fmt.Errorf("model: a service of kind plain has none")
	}
	b.config.services[w.Name] = service
	return nil
}

func (b *builder) addTeam(s Section) error {
	var w fleetschema.Team
	if err := json.Unmarshal([]byte(s.body), &w); err != nil {
		return err
	}
	team := Team{name: w.Name, rate: w.Rate, burst: w.Burst, weight: w.Weight}
	for _, key := range w.Keys {
		var digest [32]byte
		if n, err := hex.Decode(digest[:], []byte(key)); err != nil || n != len(digest) {
			return fmt.Errorf("keys: %q is no SHA-256", key)
		}
		if other, taken := b.config.teamByKey[digest]; taken {
			return fmt.Errorf("keys: %s belongs to team %s already", key, other)
		}
		b.config.teamByKey[digest] = w.Name
		team.keys = append(team.keys, digest)
	}
	if len(w.Services) > 0 {
		team.services = map[string]bool{}
	}
	for _, name := range w.Services {
		team.services[name] = true
	}
	b.config.teams[w.Name] = team
	return nil
}

func (b *builder) addCapacity(s Section) error {
	var w fleetschema.Capacity
	if err := json.Unmarshal([]byte(s.body), &w); err != nil {
		return err
	}
	if w.Least > w.Most {
		return fmt.Errorf("least: %d is more than most: %d", w.Least, w.Most)
	}
	b.config.capacities = append(b.config.capacities, Capacity{
		name:             w.Name,
		dataCenter:       w.DataCenter,
		class:            w.Class,
		reclaimablePrice: w.ReclaimablePrice,
		onDemandPrice:    w.OnDemandPrice,
		least:            w.Least,
		most:             w.Most,
		hazard:           w.Hazard,
		tokensPerSecond:  w.TokensPerSecond,
	})
	return nil
}

func (b *builder) addPolicy(s Section) error {
	var w fleetschema.Policy
	if err := json.Unmarshal([]byte(s.body), &w); err != nil {
		return err
	}
	b.config.policy = Policy{
		naiveRoute:   w.Route == fleetschema.FleetPolicyRouteNaive,
		naiveReclaim: w.Reclaim == fleetschema.FleetPolicyReclaimNaive,
		retryShare:   w.RetryShare,
		entriesKept:  w.EntriesKept,
	}
	return nil
}

// defaultPolicy is in force where a configuration has no policy section.
func defaultPolicy() Policy {
	return Policy{retryShare: 0.1, entriesKept: 10 * time.Second}
}
