package auth

import (
	"context"
	"net/http"

	"monsoonferry.org/ferry"
)

// Filter admits requests whose key belongs to a client account, and requests
// on open routes. Its zero value is ready to use.
type Filter struct{}

// Filter implements ferry.Filter.
func (Filter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	request := exchange.Request
	if exchange.Route.Open {
		scrubOpenRoute(exchange)
		return next.Handle(ctx, exchange)
	}
	var key string
	var err error
	if key, err = KeyFromRequest(request); err != nil {
		return err
	}
	exchange.Key = ferry.HashKey(key)
	exchange.Account = exchange.Snapshot.Account(exchange.Key)
	if exchange.Account == nil {
		return NewUnknownKeyError()
	}
	if inPath := Scrub(request.Header, request.URL, key); inPath {
		return &ferry.RefusalError{
			Status: http.StatusBadRequest, Reason: ferry.ReasonKeyInPath, Outcome: ferry.OutcomeNotRun,
			Detail: "the path contains the key",
		}
	}
	return next.Handle(ctx, exchange)
}

// scrubOpenRoute removes the keys of client accounts from an open route's request.
func scrubOpenRoute(exchange *ferry.Exchange) {
	request := exchange.Request
	keys := presentedKeys(request.Header)
	Scrub(request.Header, request.URL, "")
	for _, key := range keys {
		if exchange.Snapshot.Account(ferry.HashKey(key)) != nil {
			Scrub(request.Header, request.URL, key)
		}
	}
}

// NewUnknownKeyError returns the refusal of a key that does not exist or was withdrawn.
func NewUnknownKeyError() *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusUnauthorized, Reason: ferry.ReasonUnknownKey, Outcome: ferry.OutcomeNotRun,
		Detail: "the key is not known or has been withdrawn",
	}
}
