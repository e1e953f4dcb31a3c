package reclaim

import (
	"math"
	"time"
)

// Bounds of the checkpoint interval.
const (
	minCheckpointInterval = 2 * time.Second
	maxCheckpointInterval = 10 * time.Minute
)

// CheckpointInterval returns how often the tokens of a long job are written, after Young
// (1974) and Daly (2006): the square root of twice the cost of a write times the mean time
// between losses. lossesPerHour is the rate for the process that holds the tokens.
// writeCost is the time that a write takes from the job, including its wait for its share
// of the store's budget.
func CheckpointInterval(writeCost time.Duration, lossesPerHour float64) time.Duration {
	if lossesPerHour <= 0 {
		return maxCheckpointInterval
	}
	meanTimeBetweenLosses := time.Hour.Seconds() / lossesPerHour
	cost := writeCost.Seconds()
	seconds := math.Sqrt(2*cost*meanTimeBetweenLosses) - cost
	interval := time.Duration(seconds * float64(time.Second))
	return min(max(interval, minCheckpointInterval), maxCheckpointInterval)
}
