package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/admin"
)

// call is one HTTP request to a process of the run.
type call struct {
	method  string
	address string
	path    string
	// key is sent when it is not empty.
	key  string
	body string
}

// do sends the request. The caller must close the body of the response.
func (c call) do(ctx context.Context, client *http.Client) (response *http.Response, err error) {
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, strings.NewReader(c.body)); err != nil {
		return nil, trace.Wrap(err)
	}
	if c.key != "" {
		request.Header.Set(ferry.HeaderKey, c.key)
	}
	if response, err = client.Do(request); err != nil {
		return nil, trace.Wrap(err)
	}
	return response, nil
}

// doAndDiscard sends the request, discards the response body and returns the status.
func (c call) doAndDiscard(ctx context.Context, client *http.Client) (status int, err error) {
	var response *http.Response
	if response, err = c.do(ctx, client); err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, trace.Wrap(err)
	}
	return response.StatusCode, nil
}

// post sends body to a control interface. A status other than 200 is an error.
func (f *fleet) post(ctx context.Context, address, path, body string) (err error) {
	var status int
	if status, err = (call{method: http.MethodPost, address: address, path: path, body: body}).doAndDiscard(ctx, f.client); err != nil {
		return err
	}
	if status != http.StatusOK {
		return trace.Errorf("%s returned status %d", path, status)
	}
	return nil
}

// get decodes a JSON response. A status other than 200 is an error.
func (f *fleet) get(ctx context.Context, address, path string, into any) (err error) {
	var response *http.Response
	if response, err = (call{method: http.MethodGet, address: address, path: path, key: operatorKey}).do(ctx, f.client); err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return trace.Errorf("%s returned status %d", path, response.StatusCode)
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(into))
}

func (f *fleet) status(ctx context.Context, v *vm) (status admin.Status, ok bool) {
	err := f.get(ctx, v.address, "/status", &status)
	return status, err == nil
}

// targetStage returns the stage of a target in the view of the first VM.
func (f *fleet) targetStage(ctx context.Context, id string) string {
	var targets []admin.Target
	if err := f.get(ctx, f.vms[0].address, "/targets", &targets); err != nil {
		return ""
	}
	for _, t := range targets {
		if string(t.ID) == id {
			return t.Stage
		}
	}
	return ""
}

// probe sends one request of a client account and returns the status, or 0
// without a response.
func (f *fleet) probe(ctx context.Context, address, account string) int {
	status, _ := call{method: http.MethodGet, address: address, path: "/orders/probe", key: accountKey(account)}.doAndDiscard(ctx, f.client)
	return status
}

// measureLatency records the latency of one request on the open route.
func (f *fleet) measureLatency(ctx context.Context, address string, histogram *hdrhistogram.Histogram) error {
	start := time.Now()
	if _, err := (call{method: http.MethodGet, address: address, path: "/echo"}).doAndDiscard(ctx, f.client); err != nil {
		return err
	}
	return histogram.RecordValue(time.Since(start).Microseconds())
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// hasVersion reports whether a stamp has the given version.
func hasVersion(stamp string, version uint64) bool {
	return strings.HasPrefix(stamp, fmt.Sprintf("%d-", version))
}
