package relay

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/place"
)

// Requests one after the other use one connection and, if a new one costs something,
// one target of many; the metrics count both.
func TestConnectionsAreReused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var list []*testTargetServer
	for _, id := range []ferry.TargetID{"a", "b", "c", "d", "e"} {
		list = append(list, startTarget(t, id, respondOK))
	}
	h := newHarness(t, list...)
	h.chooser.SetEvenLoad(place.EvenLoad{NewConnection: 20 * time.Millisecond})
	for i := range 20 {
		is.Equal(h.call(t.Context(), http.MethodGet, "/safe/x", "", testID, strconv.Itoa(i)).status, http.StatusOK)
	}
	var page bytes.Buffer
	h.metrics.WritePrometheus(&page)
	is.True(strings.Contains(page.String(), `ferry_target_connections_total{reused="false"} 1`+"\n"))
	is.True(strings.Contains(page.String(), `ferry_target_connections_total{reused="true"} 19`+"\n"))
	is.True(strings.Contains(page.String(), `ferry_slot_picks_total{slot="Shared",place="here"} 20`+"\n"))
}
