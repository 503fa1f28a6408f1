package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"

	"monsoonferry.org/ferry"
)

// RouteFilter finds the route of a request and refuses requests that cannot be
// forwarded. Its zero value is ready to use.
type RouteFilter struct{}

// Filter implements ferry.Filter.
func (RouteFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	request := exchange.Request
	if isUpgrade(request) {
		return newRefusal(http.StatusNotImplemented, ferry.ReasonUpgrade, "protocol upgrades and tunnels are not supported")
	}
	if !isPlainPath(request) {
		return newRefusal(http.StatusBadRequest, ferry.ReasonMalformed, "the path has empty or dot segments or an escaped slash")
	}
	if exchange.Route = exchange.Snapshot.Route(hostName(request.Host), request.URL.Path); exchange.Route == nil {
		return newRefusal(http.StatusNotFound, ferry.ReasonNoRoute, "no route matches the host and path")
	}
	ctx, cancel := context.WithTimeout(ctx, exchange.Route.Deadline)
	defer cancel()
	return next.Handle(ctx, exchange)
}

// isPlainPath reports whether targets and routes interpret the path alike. A
// path that a target normalizes could reach the resources of another route.
func isPlainPath(request *http.Request) bool {
	path := request.URL.Path
	if !strings.HasPrefix(path, "/") || strings.Contains(strings.ToLower(request.URL.RawPath), "%2f") {
		return false
	}
	if strings.ContainsAny(path, "\\\x00") {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		isLast := i == len(segments)-1
		if segment == "." || segment == ".." || (segment == "" && !isLast) {
			return false
		}
	}
	return true
}

func hostName(hostPort string) string {
	host := hostPort
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		host = name
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

func newRefusal(status int, reason ferry.Reason, detail string) *ferry.RefusalError {
	return &ferry.RefusalError{Status: status, Reason: reason, Outcome: ferry.OutcomeNotRun, Detail: detail}
}

// BodyFilter refuses request bodies above the limit of the route. Its zero
// value is ready to use.
type BodyFilter struct{}

// Filter implements ferry.Filter.
func (BodyFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	request := exchange.Request
	limit := exchange.Route.BodyLimit
	if request.ContentLength > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, ferry.ReasonBodyTooLarge, "the body is larger than the route allows")
	}
	writer := exchange.Writer
	if wrapper, ok := writer.(interface{ Unwrap() http.ResponseWriter }); ok {
		// MaxBytesReader knows the writer of package http only.
		writer = wrapper.Unwrap()
	}
	request.Body = http.MaxBytesReader(writer, request.Body, limit)
	return next.Handle(ctx, exchange)
}

// LimitFilter gets a permit from the client account's allowance. The permit is
// spent just before the request is written to a target.
type LimitFilter struct {
	Limiter ferry.Limiter
	Clock   ferry.Clock
}

// Filter implements ferry.Filter.
func (f LimitFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) (err error) {
	if exchange.Account == nil {
		return next.Handle(ctx, exchange)
	}
	if exchange.Permit, err = f.Limiter.Admit(ctx, exchange.Account); err != nil {
		return err
	}
	// Return has no effect on a permit that was spent.
	defer func() {
		if exchange.Permit != nil {
			exchange.Permit.Return(f.Clock.Now())
		}
	}()
	return next.Handle(ctx, exchange)
}
