package measure

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Line is a straight line through measured points. SlopeError is the half width of the 95%
// confidence interval of the slope.
type Line struct {
	Offset, Slope, SlopeError float64
}

// Fit fits a line by least squares. With fewer than three points there is no confidence interval,
// and SlopeError is NaN.
func Fit(xs, ys []float64) Line {
	offset, slope := stat.LinearRegression(xs, ys, nil, false)
	if len(xs) < 3 {
		return Line{offset, slope, math.NaN()}
	}
	mean := stat.Mean(xs, nil)
	residualSquares, xSquares := 0.0, 0.0
	for i := range xs {
		r := ys[i] - offset - slope*xs[i]
		residualSquares += r * r
		xSquares += (xs[i] - mean) * (xs[i] - mean)
	}
	degreesOfFreedom := float64(len(xs) - 2)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
	return Line{offset, slope, t * math.Sqrt(residualSquares/degreesOfFreedom/xSquares)}
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Offset + l.Slope*x }

// Interval is a mean with the half width of its 95% confidence interval.
type Interval struct {
	Mean, HalfWidth float64
}

// MeanInterval returns the mean of values with its confidence interval. With fewer than two values
// HalfWidth is NaN.
func MeanInterval(values []float64) Interval {
	if len(values) < 2 {
		return Interval{stat.Mean(values, nil), math.NaN()}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return Interval{mean, t * deviation / math.Sqrt(n)}
}

// Quantile returns the q-quantile of values, or 0 if there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
