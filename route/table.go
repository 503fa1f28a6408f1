package route

import (
	"strings"

	"monsoonferry.org/ferry"
)

// Table matches requests to routes. It is immutable; the zero Table matches
// nothing.
type Table struct {
	hosts map[string]map[string]*ferry.Route
}

// NewTable builds the table of the given routes.
func NewTable(routes []ferry.Route) Table {
	table := Table{hosts: map[string]map[string]*ferry.Route{}}
	for i := range routes {
		r := &routes[i]
		prefixes := table.hosts[r.Host]
		if prefixes == nil {
			prefixes = map[string]*ferry.Route{}
			table.hosts[r.Host] = prefixes
		}
		prefixes[r.PathPrefix] = r
	}
	return table
}

// Match returns the route with the longest prefix of path among the routes of
// host, or else among the routes of any host. It returns nil when none
// matches.
func (t Table) Match(host, path string) *ferry.Route {
	if r := longestPrefix(t.hosts[host], path); r != nil {
		return r
	}
	return longestPrefix(t.hosts[""], path)
}

// longestPrefix looks path up and then shortens it segment by segment.
func longestPrefix(prefixes map[string]*ferry.Route, path string) *ferry.Route {
	if len(prefixes) == 0 {
		return nil
	}
	for {
		if r := prefixes[path]; r != nil {
			return r
		}
		trimmed := strings.TrimSuffix(path, "/")
		if trimmed != path && trimmed != "" {
			path = trimmed
			continue
		}
		slash := strings.LastIndexByte(trimmed, '/')
		if slash < 0 {
			return nil
		}
		path = trimmed[:slash+1]
	}
}
