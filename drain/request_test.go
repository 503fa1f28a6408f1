package drain

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// A request that a planned stop refuses while it ends what is overdue has one decision,
// whichever of the two comes first.
func TestRequestHasOneDecision(t *testing.T) {
	t.Parallel()
	for _, isRefusedFirst := range []bool{false, true} {
		is := is.New(t)
		counts := map[Decision]int{}
		var grace Grace
		s := &Requests{Grace: &grace, Log: Log{Log: slog.New(slog.DiscardHandler), Count: func(decision Decision) { counts[decision]++ }}}
		grace.Begin(ferry.Moment{}, time.Second)
		late := ferry.Moment{Monotonic: 700 * time.Millisecond, Wall: 700 * time.Millisecond}
		ctx, p := s.Enter(t.Context(), "id", late)
		demand := &Demand{Usual: time.Second, Deadline: time.Minute}
		p.SetDemand(demand)
		refuse := func() { is.True(IsRefusal(s.Log.Check(ctx, &grace, late, demand.At(late)))) }
		if isRefusedFirst {
			refuse()
		}
		s.EndOverdue(context.Background(), late)
		refuse()
		is.Equal(counts[Refused]+counts[Ended], 1)
		s.Leave(p)
	}
}
