package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
)

// refuseByCold refuses a request for which only cold targets are left and no credit. The
// caller may return when the next credit or the end of a warm-up is likely. Callers are
// spread like those of targets that asked for a pause.
func (f *Forwarder) refuseByCold(r *requestState, wait time.Duration) error {
	wait += rand.N(max(wait/2, shedRetryAfter))
	return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonColdTargets, wait, "only cold targets are left and this VM holds no credit")
}
