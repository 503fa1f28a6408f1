package lead

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleet measures the cost of an idle fleet for a follower and the fleet
// leader: messages and payload bytes per second, and processor time of the
// controllers. Run with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{36, 120, 240, 420} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				s := newSimulation(1, size)
				s.startAll()
				s.run(8*time.Second, nil)
				s.storeCalls, s.sentMessages, s.sentBytes = 0, 0, 0
				s.bytesPerVM = make([]int, size)
				const span = 10 * time.Second
				started := time.Now()
				s.run(s.now+span, nil)
				took := time.Since(started)
				maxBytes, totalBytes := 0, 0
				for _, n := range s.bytesPerVM {
					maxBytes, totalBytes = max(maxBytes, n), totalBytes+n
				}
				b.ReportMetric(float64(totalBytes)/float64(size)/span.Seconds(), "B/s-VM")
				b.ReportMetric(float64(maxBytes)/span.Seconds(), "B/s-lead")
				b.ReportMetric(float64(s.sentMessages)/float64(size)/span.Seconds(), "messages/s-VM")
				b.ReportMetric(float64(s.storeCalls)/span.Seconds(), "calls/s")
				b.ReportMetric(100*took.Seconds()/float64(size)/span.Seconds(), "%core-VM")
			}
		})
	}
}
