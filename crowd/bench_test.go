package crowd

import (
	"io"
	"net"
	"testing"
)

// BenchmarkOrdinary measures one ordinary request on a new connection, in calm and while
// most of a crowd's bodies have stopped one byte short.
func BenchmarkOrdinary(b *testing.B) {
	for _, crowdSize := range []int{0, crowdSize} {
		name := "calm"
		if crowdSize > 0 {
			name = "crowd"
		}
		b.Run(name, func(b *testing.B) {
			l := startLab(b)
			body := make([]byte, bodySize-1)
			l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
				_, _ = io.WriteString(connection, head("POST", "/orders/1", lengthField(bodySize)))
				_, _ = connection.Write(body)
			})
			refused := 0
			for b.Loop() {
				if err := l.ordinary(); err != nil {
					refused++
				}
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}
