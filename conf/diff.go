package conf

import (
	"fmt"
	"reflect"
	"slices"

	"monsoonferry.org/ferry"
)

// Change is one difference between two inventories.
type Change struct {
	// Kind is Added, Removed or Changed.
	Kind   ChangeKind
	Object string
	ID     string
}

// ChangeKind classifies a change of an object.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "Added"
	Removed ChangeKind = "Removed"
	Changed ChangeKind = "Changed"
)

// String returns the change as one line.
func (c Change) String() string { return fmt.Sprintf("%s %s %s", c.Kind, c.Object, c.ID) }

// Diff returns the differences between two inventories, grouped by kind of object
// and then ordered by identifier.
func Diff(from, to *ferry.Inventory) []Change {
	var changes []Change
	if from.MaxVMs != to.MaxVMs {
		changes = append(changes, Change{Kind: Changed, Object: "MaxVMs", ID: fmt.Sprintf("%d -> %d", from.MaxVMs, to.MaxVMs)})
	}
	changes = append(changes, compare("Place", from.Places, to.Places, func(p ferry.Place) string { return string(p.ID) })...)
	changes = append(changes, compare("Service", from.Services, to.Services, func(s ferry.Service) string { return string(s.ID) })...)
	changes = append(changes, compare("Target", from.Targets, to.Targets, func(t ferry.Target) string { return string(t.ID) })...)
	changes = append(changes, compare("Account", from.Accounts, to.Accounts, func(a ferry.Account) string { return string(a.ID) })...)
	return append(changes, compare("Route", from.Routes, to.Routes, func(r ferry.Route) string { return string(r.ID) })...)
}

// compare returns the differences between two lists of one kind of object.
func compare[T any](object string, from, to []T, id func(T) string) []Change {
	old := map[string]T{}
	for _, item := range from {
		old[id(item)] = item
	}
	var changes []Change
	for _, item := range to {
		before, ok := old[id(item)]
		delete(old, id(item))
		switch {
		case !ok:
			changes = append(changes, Change{Kind: Added, Object: object, ID: id(item)})
		case !reflect.DeepEqual(before, item):
			changes = append(changes, Change{Kind: Changed, Object: object, ID: id(item)})
		}
	}
	for name := range old {
		changes = append(changes, Change{Kind: Removed, Object: object, ID: name})
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return changes
}
