package measure

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Line is a straight line through measured points, with the half width of the
// slope's 95% interval.
type Line struct {
	Offset, Slope, SlopeError float64
}

// Fit fits a line by least squares. With fewer than three points there is no
// interval, and SlopeError is not a number.
func Fit(xs, ys []float64) Line {
	offset, slope := stat.LinearRegression(xs, ys, nil, false)
	if len(xs) < 3 {
		return Line{offset, slope, math.NaN()}
	}
	mean := stat.Mean(xs, nil)
	residual, spread := 0.0, 0.0
	for i := range xs {
		r := ys[i] - offset - slope*xs[i]
		residual += r * r
		spread += (xs[i] - mean) * (xs[i] - mean)
	}
	free := float64(len(xs) - 2)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: free}.Quantile(0.975)
	return Line{offset, slope, t * math.Sqrt(residual/free/spread)}
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Offset + l.Slope*x }

// Interval is a mean with the half width of its 95% interval.
type Interval struct {
	Mean, HalfWidth float64
}

// MeanInterval returns the mean of values with its interval.
func MeanInterval(values []float64) Interval {
	if len(values) < 2 {
		return Interval{stat.Mean(values, nil), math.NaN()}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return Interval{mean, t * deviation / math.Sqrt(n)}
}

// Quantile returns a quantile of values, 0 for none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
