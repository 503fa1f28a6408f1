package relay

import (
	"context"
	"net"
	"net/http"
	"strings"

	"monsoonferry.org/ferry"
)

// Freshness reports whether the VM's configuration is up to date.
type Freshness interface {
	// IsCurrent reports whether the snapshot is in force and has all changes but the
	// most recent ones, so that the VM may deny an unknown route or key.
	IsCurrent(snapshot ferry.Snapshot) bool
}

// RouteFilter finds the route of a request.
type RouteFilter struct{ Freshness Freshness }

// Filter implements ferry.Filter.
func (f RouteFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	if limit := exchange.Snapshot.Limits().HeaderBytes; limit > 0 && headerBytes(exchange.Request) > limit {
		return deny(f.Freshness, exchange, http.StatusRequestHeaderFieldsTooLarge, ferry.ReasonHeaderTooLarge, "the header exceeds the limit of the configuration")
	}
	exchange.Route = exchange.Snapshot.Route(hostName(exchange.Request.Host), requestPath(exchange.Request.RequestURI))
	if exchange.Route == nil {
		return deny(f.Freshness, exchange, http.StatusNotFound, ferry.ReasonNoRoute, "no route matches")
	}
	if exchange.Route.IsBroken {
		return refuseBroken(ferry.ReasonBrokenRoute, "the route could not be read whole from the configuration")
	}
	return next.Handle(ctx, exchange)
}

// headerBytes returns the size of a request's header without optional white space,
// so that it is never larger than what the caller sent.
func headerBytes(request *http.Request) int64 {
	const requestLine, field, host = len("  HTTP/1.1\r\n\r\n"), len(":\r\n"), len("Host:\r\n")
	size := requestLine + len(request.Method) + len(request.RequestURI) + host + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += field + len(name) + len(value)
		}
	}
	return int64(size)
}

// hostName returns the host without a port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// requestPath returns the path of a request URI as the caller sent it.
func requestPath(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	if i := strings.Index(path, "://"); i >= 0 && !strings.HasPrefix(path, "/") {
		path = path[i+len("://"):]
		if j := strings.IndexByte(path, '/'); j >= 0 {
			return path[j:]
		}
		return "/"
	}
	return path
}

// AccountFilter finds the client account that a key belongs to.
type AccountFilter struct{ Freshness Freshness }

// Filter implements ferry.Filter.
func (f AccountFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	if exchange.Route.Open {
		return next.Handle(ctx, exchange)
	}
	if exchange.Metadata.Key == "" {
		return deny(f.Freshness, exchange, http.StatusUnauthorized, ferry.ReasonNoKey, "the route needs a key")
	}
	exchange.Key = ferry.HashKey(exchange.Metadata.Key)
	if exchange.Account = exchange.Snapshot.Account(exchange.Key); exchange.Account == nil {
		return deny(f.Freshness, exchange, http.StatusUnauthorized, ferry.ReasonUnknownKey, "the key belongs to no client account")
	}
	if exchange.Account.IsBroken {
		return refuseBroken(ferry.ReasonBrokenAccount, "the client account could not be read whole from the configuration")
	}
	return next.Handle(ctx, exchange)
}

// refuseBroken refuses a request whose limits the VM does not know. The next
// configuration may have them.
func refuseBroken(reason ferry.Reason, detail string) error {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: reason, Outcome: ferry.OutcomeNotRun,
		RetryAfter: brokenRetryAfter, Detail: detail,
	}
}

// deny refuses a request. The refusal is final, unless the configuration may be
// old: then the caller may try again.
func deny(freshness Freshness, exchange *ferry.Exchange, status int, reason ferry.Reason, detail string) error {
	if !freshness.IsCurrent(exchange.Snapshot) {
		return &ferry.RefusalError{
			Status: http.StatusServiceUnavailable, Reason: ferry.ReasonNotReady, Outcome: ferry.OutcomeNotRun,
			RetryAfter: staleRetryAfter, Detail: detail + ", but the configuration may be old",
		}
	}
	return &ferry.RefusalError{Status: status, Reason: reason, Outcome: ferry.OutcomeNotRun, Detail: detail}
}

// AllowanceFilter takes a token from the allowance of the client account.
type AllowanceFilter struct{ Limiter ferry.Limiter }

// Filter implements ferry.Filter.
func (f AllowanceFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	if exchange.Account == nil || exchange.Account.Rate <= 0 {
		return next.Handle(ctx, exchange)
	}
	if err := f.admit(ctx, exchange); err != nil {
		return err
	}
	return next.Handle(ctx, exchange)
}

// admit waits for a token, at most as long as the caller waits for a response.
func (f AllowanceFilter) admit(ctx context.Context, exchange *ferry.Exchange) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit(exchange))
	defer cancel()
	_, err := f.Limiter.Admit(ctx, exchange.Account)
	return err
}
