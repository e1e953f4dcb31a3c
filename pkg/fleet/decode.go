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
	var decoded fleetschema.Service
	if err := json.Unmarshal([]byte(s.body), &decoded); err != nil {
		return err
	}
	patterns := make([]CallPattern, 0, len(decoded.NotRepeated))
	for _, pattern := range decoded.NotRepeated {
		method, prefix, ok := strings.Cut(pattern, " ")
		if !ok || !strings.HasPrefix(prefix, "/") {
			return fmt.Errorf("not-repeated: got %q, valid: METHOD /path-prefix", pattern)
		}
		patterns = append(patterns, CallPattern{method, prefix})
	}
	service := Service{
		name:          decoded.Name,
		kind:          Kind(decoded.Kind),
		model:         decoded.Model,
		version:       decoded.Version,
		adapter:       decoded.Adapter,
		latencyTarget: decoded.LatencyTarget,
		tokenGap:      decoded.TokenGap,
		deadline:      decoded.Deadline,
		priority:      decoded.Priority,
		mayWait:       decoded.MayWait,
		maxTokens:     decoded.MaxTokens,
		nonRepeatable: patterns,
	}
	if service.kind == Model && service.model == "" {
		return fmt.Errorf("model: missing for a service of kind model")
	}
	if service.kind == Plain && service.model != "" {
		return fmt.Errorf("model: a service of kind plain has none")
	}
	b.config.services[decoded.Name] = service
	return nil
}

func (b *builder) addTeam(s Section) error {
	var decoded fleetschema.Team
	if err := json.Unmarshal([]byte(s.body), &decoded); err != nil {
		return err
	}
	team := Team{name: decoded.Name, rate: decoded.Rate, burst: decoded.Burst, weight: decoded.Weight}
	for _, key := range decoded.Keys {
		var digest [32]byte
		if n, err := hex.Decode(digest[:], []byte(key)); err != nil || n != len(digest) {
			return fmt.Errorf("keys: %q is no SHA-256", key)
		}
		if owner, exists := b.config.teamByKey[digest]; exists {
			return fmt.Errorf("keys: %s belongs to team %s already", key, owner)
		}
		b.config.teamByKey[digest] = decoded.Name
		team.keyHashes = append(team.keyHashes, digest)
	}
	if len(decoded.Services) > 0 {
		team.services = map[string]bool{}
	}
	for _, name := range decoded.Services {
		team.services[name] = true
	}
	b.config.teams[decoded.Name] = team
	return nil
}

func (b *builder) addCapacity(s Section) error {
	var decoded fleetschema.Capacity
	if err := json.Unmarshal([]byte(s.body), &decoded); err != nil {
		return err
	}
	if decoded.Least > decoded.Most {
		return fmt.Errorf("least: %d is more than most: %d", decoded.Least, decoded.Most)
	}
	b.config.capacities = append(b.config.capacities, Capacity{
		name:             decoded.Name,
		dataCenter:       decoded.DataCenter,
		class:            decoded.Class,
		reclaimablePrice: decoded.ReclaimablePrice,
		onDemandPrice:    decoded.OnDemandPrice,
		minHosts:         decoded.Least,
		maxHosts:         decoded.Most,
		hazardPerHour:    decoded.Hazard,
		tokensPerSecond:  decoded.TokensPerSecond,
	})
	return nil
}

func (b *builder) addPolicy(s Section) error {
	var decoded fleetschema.Policy
	if err := json.Unmarshal([]byte(s.body), &decoded); err != nil {
		return err
	}
	b.config.policy = Policy{
		naiveRoute:   decoded.Route == fleetschema.FleetPolicyRouteNaive,
		naiveReclaim: decoded.Reclaim == fleetschema.FleetPolicyReclaimNaive,
		retryShare:   decoded.RetryShare,
		entryListTTL: decoded.EntriesKept,
	}
	return nil
}

// defaultPolicy returns the policy for a configuration without a policy section.
func defaultPolicy() Policy {
	return Policy{retryShare: 0.1, entryListTTL: 10 * time.Second}
}
