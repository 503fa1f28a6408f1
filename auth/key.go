package auth

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"

	"monsoonferry.org/ferry"
)

const (
	authorization = "Authorization"
	bearer        = "bearer "
	ownPrefix     = "ferry-"
)

// FromRequest returns the key that came with the request. It returns a
// *ferry.RefusalError when there is no key or when several different keys came.
func FromRequest(request *http.Request) (string, error) {
	candidates := presented(request.Header)
	if len(candidates) == 0 {
		return "", &ferry.RefusalError{
			Status: http.StatusUnauthorized, Reason: ferry.ReasonNoKey, Outcome: ferry.OutcomeNotRun,
			Detail: "the route needs a key in the Ferry-Key header or as a bearer token",
		}
	}
	for _, other := range candidates[1:] {
		if other != candidates[0] {
			return "", &ferry.RefusalError{
				Status: http.StatusBadRequest, Reason: ferry.ReasonAmbiguousKey, Outcome: ferry.OutcomeNotRun,
				Detail: "the request carries several different keys",
			}
		}
	}
	return candidates[0], nil
}

// presented lists every key that the headers show.
func presented(header http.Header) []string {
	var keys []string
	for _, value := range header.Values(ferry.HeaderKey) {
		keys = append(keys, strings.TrimSpace(value))
	}
	for _, value := range header.Values(authorization) {
		if len(value) > len(bearer) && strings.EqualFold(value[:len(bearer)], bearer) {
			keys = append(keys, strings.TrimSpace(value[len(bearer):]))
		}
	}
	return keys
}

// Scrub removes the fleet's own headers and every trace of key from the
// headers and the query. It reports whether the path contains the key, in
// which case the request must be refused.
func Scrub(header http.Header, target *url.URL, key string) (inPath bool) {
	for name := range header {
		if isOwnHeader(name) {
			delete(header, name)
		}
	}
	if key == "" {
		return false
	}
	for name, values := range header {
		header[name] = keepWithout(values, key)
		if len(header[name]) == 0 {
			delete(header, name)
		}
	}
	if target.RawQuery != "" {
		target.RawQuery = strings.Join(keepWithout(strings.Split(target.RawQuery, "&"), key), "&")
	}
	return holdsKey(target.Path, key)
}

// isOwnHeader reports whether name belongs to the fleet in any spelling.
// Underscores count as hyphens because gateway interfaces fold them.
func isOwnHeader(name string) bool {
	folded := strings.ReplaceAll(strings.ToLower(name), "_", "-")
	return strings.HasPrefix(folded, ownPrefix)
}

// keepWithout returns the values that do not hold the key.
func keepWithout(values []string, key string) []string {
	var kept []string
	for _, value := range values {
		if !holdsKey(value, key) {
			kept = append(kept, value)
		}
	}
	return kept
}

// holdsKey reports whether a value holds the key plainly, escaped as in a URL
// or in Base64.
func holdsKey(value, key string) bool {
	var plain string
	var err error
	if plain, err = url.QueryUnescape(value); err != nil {
		plain = value
	}
	for _, form := range []string{value, plain} {
		if strings.Contains(form, key) || strings.Contains(form, base64.StdEncoding.EncodeToString([]byte(key))) {
			return true
		}
	}
	return false
}
