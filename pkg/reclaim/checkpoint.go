package reclaim

import (
	"math"
	"time"
)

// Bounds of the checkpoint interval.
const (
	leastInterval = 2 * time.Second
	mostInterval  = 10 * time.Minute
)

// CheckpointInterval returns how often a long job's tokens are written, after Young
// (1974) and Daly (2006): the square root of twice the cost of a write times
// the mean time between losses. lossesPerHour is of the process that holds the
// tokens; writeCost is the time a write takes from the job, waiting for its
// part of the store's budget included.
func CheckpointInterval(writeCost time.Duration, lossesPerHour float64) time.Duration {
	if lossesPerHour <= 0 {
		return mostInterval
	}
	meanSeconds := time.Hour.Seconds() / lossesPerHour
	cost := writeCost.Seconds()
	seconds := math.Sqrt(2*cost*meanSeconds) - cost
	interval := time.Duration(seconds * float64(time.Second))
	return min(max(interval, leastInterval), mostInterval)
}
