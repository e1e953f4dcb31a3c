package scalesync

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/autoscale"
)

// row is the stored form of a service's state. Its times are of the store's steady clock, in
// milliseconds; 0 is unknown. Later versions may add keys.
type row struct {
	Epoch int64      `cbor:"1,keyasint"`
	Pools []pool     `cbor:"2,keyasint,omitempty"`
	Lost  []loss     `cbor:"3,keyasint,omitempty"`
	Waves waveCounts `cbor:"4,keyasint"`
	Peak  peak       `cbor:"5,keyasint"`
	// Rollout is the ID of a roll-out; see autoscale.State.
	Rollout int64 `cbor:"6,keyasint,omitempty"`
}

type pool struct {
	_           struct{} `cbor:",toarray"`
	DataCenter  string
	Reclaimable bool
	Ordered     int
	Booting     int
	OrderedAtMS int64
	RefusedAtMS int64
}

type loss struct {
	_          struct{} `cbor:",toarray"`
	DataCenter string
	AtMS       int64
}

type waveCounts struct {
	_        struct{} `cbor:",toarray"`
	Pending  bool
	Followed int
	Ended    int
	DelaysMS int64
}

type peak struct {
	_             struct{} `cbor:",toarray"`
	AtMS          int64
	FirstLoadAtMS int64
	Load          float32
	SlotTime      float32
	TokenTime     float32
	Refused       float32
}

// Bounds of a row's values.
const (
	// maxMS bounds times of the store's clock and sums of delays: 100 years.
	maxMS = 100 * 365 * 24 * 3600 * 1000
	// maxCount bounds counts of endpoints and losses, maxItems the pools and data centres.
	maxCount = 1_000_000
	maxItems = 1000
	// maxPeak bounds the peaks of the demand, from which numbers of endpoints are computed.
	maxPeak = 1e12
)

// converter converts between this process's clock and the store's, whose present times are
// now and storeNow.
type converter struct {
	now      time.Time
	storeNow time.Duration
}

func (c converter) toStore(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max((c.storeNow - c.now.Sub(at)).Milliseconds(), 1)
}

// fromStore converts a time of the store. A time in the future becomes the present time.
func (c converter) fromStore(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return c.now.Add(-max(c.storeNow-time.Duration(ms)*time.Millisecond, 0))
}

func encode(s autoscale.State, epoch int64, c converter) ([]byte, error) {
	d := s.Demand
	r := row{
		Epoch: epoch, Rollout: s.Rollout,
		Waves: waveCounts{Pending: s.Losses.Pending, Followed: s.Losses.Followed, Ended: s.Losses.Ended, DelaysMS: s.Losses.Delays.Milliseconds()},
		Peak: peak{
			AtMS: c.toStore(d.At), FirstLoadAtMS: c.toStore(d.FirstLoadAt),
			Load: float32(d.Load), SlotTime: float32(d.SlotTime), TokenTime: float32(d.TokenTime), Refused: float32(d.Refused),
		},
	}
	for _, p := range s.Pools {
		r.Pools = append(r.Pools, pool{
			DataCenter: p.DataCenter, Reclaimable: p.Reclaimable, Ordered: p.Ordered, Booting: p.Booting,
			OrderedAtMS: c.toStore(p.OrderedAt), RefusedAtMS: c.toStore(p.RefusedAt),
		})
	}
	for dataCenter, at := range s.Losses.LostAt {
		r.Lost = append(r.Lost, loss{DataCenter: dataCenter, AtMS: c.toStore(at)})
	}
	return cbor.Marshal(r)
}

// decodeEpoch returns the epoch of a row.
func decodeEpoch(value []byte) (int64, error) {
	var r struct {
		Epoch int64 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(value, &r); err != nil {
		return 0, fmt.Errorf("scalesync: %w", err)
	}
	return r.Epoch, nil
}

func decode(service string, value []byte, c converter) (autoscale.State, error) {
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return autoscale.State{}, fmt.Errorf("scalesync: %w", err)
	}
	if err := r.validate(); err != nil {
		return autoscale.State{}, err
	}
	s := autoscale.State{
		Rollout: r.Rollout,
		Losses: autoscale.LossState{
			LostAt: map[string]time.Time{}, Pending: r.Waves.Pending, Followed: r.Waves.Followed, Ended: r.Waves.Ended,
			Delays: time.Duration(r.Waves.DelaysMS) * time.Millisecond,
		},
		Demand: autoscale.DemandState{
			At: c.fromStore(r.Peak.AtMS), FirstLoadAt: c.fromStore(r.Peak.FirstLoadAtMS),
			Load: float64(r.Peak.Load), SlotTime: float64(r.Peak.SlotTime), TokenTime: float64(r.Peak.TokenTime), Refused: float64(r.Peak.Refused),
		},
	}
	for _, p := range r.Pools {
		s.Pools = append(s.Pools, autoscale.PoolState{
			Pool:    autoscale.Pool{Service: service, DataCenter: p.DataCenter, Reclaimable: p.Reclaimable},
			Ordered: p.Ordered, Booting: p.Booting, OrderedAt: c.fromStore(p.OrderedAtMS), RefusedAt: c.fromStore(p.RefusedAtMS),
		})
	}
	for _, l := range r.Lost {
		s.Losses.LostAt[l.DataCenter] = c.fromStore(l.AtMS)
	}
	return s, nil
}

// validate returns an error if a value is out of range, so that no order follows from a corrupt
// row or one of another format.
func (r row) validate() error {
	if len(r.Pools) > maxItems || len(r.Lost) > maxItems {
		return fmt.Errorf("scalesync: %d pools and %d losses, want at most %d each", len(r.Pools), len(r.Lost), maxItems)
	}
	counts := []int{r.Waves.Followed, r.Waves.Ended}
	times := []int64{r.Waves.DelaysMS, r.Peak.AtMS, r.Peak.FirstLoadAtMS}
	for _, p := range r.Pools {
		counts = append(counts, p.Ordered, p.Booting)
		times = append(times, p.OrderedAtMS, p.RefusedAtMS)
	}
	for _, l := range r.Lost {
		times = append(times, l.AtMS)
	}
	for _, count := range counts {
		if count < 0 || count > maxCount {
			return fmt.Errorf("scalesync: count out of range: %d", count)
		}
	}
	for _, ms := range times {
		if ms < 0 || ms > maxMS {
			return fmt.Errorf("scalesync: time out of range: %d ms", ms)
		}
	}
	for _, value := range []float32{r.Peak.Load, r.Peak.SlotTime, r.Peak.TokenTime, r.Peak.Refused} {
		if v := float64(value); math.IsNaN(v) || v < 0 || v > maxPeak {
			return fmt.Errorf("scalesync: peak out of range: %v", value)
		}
	}
	return nil
}
