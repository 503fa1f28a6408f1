package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/place"
)

// refuseByCold refuses a request for which only cold targets are left and no credit. The
// caller may return when the next credit or the end of a warm-up is likely. Callers are
// spread like those of targets that asked for a pause.
func (f *Forwarder) refuseByCold(r *requestState, cold place.ColdTargets) error {
	wait := cold.Wait + rand.N(max(cold.Wait/2, shedRetryAfter))
	return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonColdTargets, wait,
		fmt.Sprintf("only cold targets are left (%d in this place, %d elsewhere, the first warm in %v) and this VM holds no credit",
			cold.InPlace, cold.Elsewhere, cold.WarmIn.Round(time.Millisecond)))
}
