package autoscale_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/autoscale"
)

// BenchmarkPlan measures a plan during a wave of losses.
func BenchmarkPlan(b *testing.B) {
	for _, dataCenters := range []int{3, 19} {
		b.Run(fmt.Sprint(dataCenters), func(b *testing.B) {
			service := newThreeDataCenters(40)
			service.Scaling.Prices = map[string]float64{}
			serving := map[string]int{}
			for i := range dataCenters {
				name := fmt.Sprintf("dc%02d", i)
				service.Scaling.Prices[name] = 1 + float64(i)/100
				serving[name] = 40
			}
			serving["dc00"] = 0
			losses, now := lossAt("dc00")
			demand := autoscale.Demand{Load: 8 * float64(dataCenters), Measured: true}
			b.ReportAllocs()
			for b.Loop() {
				autoscale.Plan(service, demand, reclaimableSupply(serving), losses.Outlook(now.Add(time.Second)))
			}
		})
	}
}
