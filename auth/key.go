package auth

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"

	"monsoonferry.org/ferry"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "bearer "
	ferryPrefix         = "ferry-"
)

// KeyFromRequest returns the key of the request. It returns a *ferry.RefusalError
// when the request has no key or several different keys.
func KeyFromRequest(request *http.Request) (string, error) {
	candidates := presentedKeys(request.Header)
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

// presentedKeys returns all keys in the headers.
func presentedKeys(header http.Header) []string {
	var keys []string
	for _, value := range header.Values(ferry.HeaderKey) {
		keys = append(keys, strings.TrimSpace(value))
	}
	for _, value := range header.Values(authorizationHeader) {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			keys = append(keys, strings.TrimSpace(value[len(bearerPrefix):]))
		}
	}
	return keys
}

// Scrub removes the fleet's own headers and all header values and query
// parameters that contain the key. It reports whether the path contains the
// key, in which case the request must be refused.
func Scrub(header http.Header, target *url.URL, key string) (inPath bool) {
	for name := range header {
		if isFerryHeader(name) {
			delete(header, name)
		}
	}
	if key == "" {
		return false
	}
	for name, values := range header {
		header[name] = valuesWithoutKey(values, key)
		if len(header[name]) == 0 {
			delete(header, name)
		}
	}
	if target.RawQuery != "" {
		target.RawQuery = strings.Join(valuesWithoutKey(strings.Split(target.RawQuery, "&"), key), "&")
	}
	return containsKey(target.Path, key)
}

// isFerryHeader reports whether name is a header of the fleet, in any spelling.
// Underscores count as hyphens because gateway interfaces fold them.
func isFerryHeader(name string) bool {
	folded := strings.ReplaceAll(strings.ToLower(name), "_", "-")
	return strings.HasPrefix(folded, ferryPrefix)
}

// valuesWithoutKey returns the values that do not contain the key.
func valuesWithoutKey(values []string, key string) []string {
	var kept []string
	for _, value := range values {
		if !containsKey(value, key) {
			kept = append(kept, value)
		}
	}
	return kept
}

// containsKey reports whether a value contains the key literally, URL-escaped or
// in Base64.
func containsKey(value, key string) bool {
	var unescaped string
	var err error
	if unescaped, err = url.QueryUnescape(value); err != nil {
		unescaped = value
	}
	for _, text := range []string{value, unescaped} {
		if strings.Contains(text, key) || strings.Contains(text, base64.StdEncoding.EncodeToString([]byte(key))) {
			return true
		}
	}
	return false
}
