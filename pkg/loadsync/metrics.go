package loadsync

import "github.com/prometheus/client_golang/prometheus"

// The metrics of a Sync.
var (
	factorMetric = prometheus.NewDesc("ironhollow_speed_factor",
		"Time that the fastest (bound least) and the slowest endpoint (bound greatest) of a service take relative to the others; 1 for equal endpoints.",
		[]string{"service", "bound"}, nil)
	reportsMetric = prometheus.NewDesc("ironhollow_speed_reports_total", "Reports of other hosts on the speed of endpoints.", nil, nil)
	ignoredMetric = prometheus.NewDesc("ironhollow_speed_reports_ignored_total",
		"Reports of other hosts on the speed of endpoints that were invalid or about endpoints that this host does not use.", nil, nil)
)

// Describe implements prometheus.Collector.
func (s *Sync) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- factorMetric
	descriptions <- reportsMetric
	descriptions <- ignoredMetric
}

// Collect implements prometheus.Collector.
func (s *Sync) Collect(metrics chan<- prometheus.Metric) {
	for _, spread := range s.router.SpeedSpreads() {
		service := spread.Target.Service
		metrics <- prometheus.MustNewConstMetric(factorMetric, prometheus.GaugeValue, spread.Least, service, "least")
		metrics <- prometheus.MustNewConstMetric(factorMetric, prometheus.GaugeValue, spread.Greatest, service, "greatest")
	}
	metrics <- prometheus.MustNewConstMetric(reportsMetric, prometheus.CounterValue, float64(s.speedReports.Load()))
	metrics <- prometheus.MustNewConstMetric(ignoredMetric, prometheus.CounterValue, float64(s.ignoredSpeedReports.Load()))
}
