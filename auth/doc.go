// Package auth maps keys to client accounts and removes keys from requests.
//
// # Concept
//
// A caller sends its key in the Ferry-Key header or as a bearer token. The
// Index of the configuration in force maps the key's digest to the client
// account. The key is looked up again at every later step of the request, so
// that the withdrawal of a key also stops queued requests and running transfers.
//
// Before a request is forwarded, Scrub removes the key from every header and
// query parameter in which it occurs, in any spelling of the header's name.
//
// # Usage
//
//	key, err := auth.KeyFromRequest(request)
//	account := snapshot.Account(ferry.HashKey(key))
//	auth.Scrub(request.Header, request.URL, key)
package auth
