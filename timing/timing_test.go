package timing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuantilesReplaceTheObjective(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var routes Routes
	h := routes.Histogram("r")
	p90, p98 := h.P90AndP98(time.Second)
	is.Equal(p90, 500*time.Millisecond)
	is.Equal(p98, 900*time.Millisecond)
	for range 95 {
		h.Add(20*time.Millisecond, 1000)
	}
	for range 5 {
		h.Add(3*time.Second, 1000)
	}
	is.Equal(routes.Histogram("r"), h)
	p90, p98 = h.P90AndP98(time.Second)
	is.True(p90 >= 20*time.Millisecond && p90 < 30*time.Millisecond)
	is.True(p98 >= 3*time.Second && p98 < 4*time.Second)
}
