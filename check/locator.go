package check

import (
	"fmt"

	"monsoonferry.org/ferry"
)

// List names a list of an inventory.
type List string

// Lists of an inventory.
const (
	Routes   List = "Routes"
	Services List = "Services"
	Accounts List = "Accounts"
)

// Field names a field of an entry, or of the inventory itself.
type Field string

// Fields of entries. Whole stands for the entry itself.
const (
	Whole      Field = ""
	Host       Field = "Host"
	PathPrefix Field = "PathPrefix"
	Service    Field = "Service"
	Split      Field = "Split"
	Kind       Field = "Kind"
	Deadline   Field = "Deadline"
	Objective  Field = "Objective"
	Attempts   Field = "Attempts"
	Priority   Field = "Priority"
	Open       Field = "Open"
	Homes      Field = "Regions"
	Keys       Field = "Keys"
	Rate       Field = "Rate"
	Burst      Field = "Burst"
)

// Fields of the inventory.
const (
	Version     Field = "Version"
	HeaderBytes Field = "Limits.HeaderBytes"
	BodyBytes   Field = "Limits.BodyBytes"
	HeaderTime  Field = "Limits.HeaderTime"
	IdleTime    Field = "Limits.IdleTime"
)

// Locator gives the paths of fields in the operators' file.
type Locator interface {
	// Entry returns the path of a field of the entry with the index in the list.
	Entry(list List, index int, field Field) string
	// Top returns the path of a field of the inventory, or of a list.
	Top(field Field) string
}

// DefaultLocator gives the names of the fields of ferry.Inventory.
type DefaultLocator struct{}

// Entry implements Locator.
func (DefaultLocator) Entry(list List, index int, field Field) string {
	if field == Whole {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}

// Top implements Locator.
func (DefaultLocator) Top(field Field) string { return string(field) }

// collector collects the findings of one check.
type collector struct {
	locator  Locator
	findings []Finding
}

// position is an entry of a list.
type position struct {
	list  List
	index int
	name  string
}

func (c *collector) add(rule string, at position, field Field, format string, args ...any) {
	c.addPath(rule, c.locator.Entry(at.list, at.index, field), at.name, format, args...)
}

func (c *collector) addPath(rule, path, name, format string, args ...any) {
	c.findings = append(c.findings, New(ferry.Finding{Rule: rule, Path: path, Name: name, Text: fmt.Sprintf(format, args...)}))
}

var _ Locator = DefaultLocator{}
