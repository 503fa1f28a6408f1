package conf

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// The document types mirror the JSON formats, whose field names they use.
type (
	inventoryDocument struct {
		Version  uint64            `json:",omitempty"`
		MaxVMs   int               `json:",omitempty"`
		Places   []placeDocument   `json:",omitempty"`
		Services []serviceDocument `json:",omitempty"`
		Targets  []targetDocument  `json:",omitempty"`
		Accounts []accountDocument `json:",omitempty"`
		Routes   []routeDocument   `json:",omitempty"`
	}
	placeDocument struct {
		ID     string
		Region string
	}
	serviceDocument struct {
		ID             string
		Floor          float64 `json:",omitempty"`
		Sensitivity    float64 `json:",omitempty"`
		BaselineErrors float64 `json:",omitempty"`
		RetryBudget    float64 `json:",omitempty"`
		MaxEjection    string  `json:",omitempty"`
		StallAfter     string  `json:",omitempty"`
	}
	targetDocument struct {
		ID             string
		Service        string
		Place          string
		Address        string
		Slots          int
		MaxConnections int  `json:",omitempty"`
		Leaving        bool `json:",omitempty"`
	}
	accountDocument struct {
		ID    string
		Rate  float64
		Burst float64
		Keys  []string `json:",omitempty"`
	}
	routeDocument struct {
		ID                string
		Host              string `json:",omitempty"`
		PathPrefix        string
		Service           string
		Open              bool     `json:",omitempty"`
		IdempotentMethods []string `json:",omitempty"`
		Deadline          string   `json:",omitempty"`
		BodyLimit         int64    `json:",omitempty"`
	}
	vmListDocument struct {
		Version uint64
		VMs     []vmDocument
	}
	vmDocument struct {
		ID      string
		Place   string
		Callers string
		Peers   string
		Admin   string
		Leaving bool `json:",omitempty"`
	}
)

// DefaultMaxConnections is the number of connections that a target accepts
// from the whole fleet if its entry has no MaxConnections.
const DefaultMaxConnections = 300

// ParseInventory decodes and validates one inventory document. It returns
// ProblemsError if the document is invalid.
func ParseInventory(text []byte) (*ferry.Inventory, error) {
	var document inventoryDocument
	if err := decode(text, &document); err != nil {
		return nil, err
	}
	return acceptDocument(document)
}

// acceptDocument maps a document and applies all validation rules.
func acceptDocument(document inventoryDocument) (*ferry.Inventory, error) {
	var problems ProblemsError
	inventory := mapInventory(document, &problems)
	validate(inventory, &problems)
	if err := problems.errorOrNil(); err != nil {
		return nil, err
	}
	return inventory, nil
}

func mapInventory(document inventoryDocument, problems *ProblemsError) *ferry.Inventory {
	inventory := &ferry.Inventory{Version: document.Version, MaxVMs: document.MaxVMs}
	for _, d := range document.Places {
		inventory.Places = append(inventory.Places, ferry.Place{ID: ferry.PlaceID(d.ID), Region: ferry.RegionID(d.Region)})
	}
	for i, d := range document.Services {
		path := fmt.Sprintf("Services[%d]", i)
		inventory.Services = append(inventory.Services, mapService(path, d, problems))
	}
	for i, d := range document.Targets {
		path := fmt.Sprintf("Targets[%d]", i)
		inventory.Targets = append(inventory.Targets, mapTarget(path, d, problems))
	}
	for i, d := range document.Accounts {
		path := fmt.Sprintf("Accounts[%d]", i)
		inventory.Accounts = append(inventory.Accounts, mapAccount(path, d, problems))
	}
	for i, d := range document.Routes {
		path := fmt.Sprintf("Routes[%d]", i)
		inventory.Routes = append(inventory.Routes, mapRoute(path, d, problems))
	}
	return inventory
}

func mapService(path string, d serviceDocument, problems *ProblemsError) ferry.Service {
	rules := ferry.Rules{
		Floor:          d.Floor,
		Sensitivity:    d.Sensitivity,
		BaselineErrors: d.BaselineErrors,
		RetryBudget:    d.RetryBudget,
		MaxEjection:    parseDuration(path+".MaxEjection", d.MaxEjection, problems),
		StallAfter:     parseDuration(path+".StallAfter", d.StallAfter, problems),
	}
	return ferry.Service{ID: ferry.ServiceID(d.ID), Rules: rules.WithDefaults()}
}

func mapTarget(path string, d targetDocument, problems *ProblemsError) ferry.Target {
	connections := d.MaxConnections
	if connections == 0 {
		connections = DefaultMaxConnections
	}
	return ferry.Target{
		ID:             ferry.TargetID(d.ID),
		Service:        ferry.ServiceID(d.Service),
		Place:          ferry.PlaceID(d.Place),
		Address:        parseAddress(path+".Address", d.Address, problems),
		Slots:          d.Slots,
		MaxConnections: connections,
		Leaving:        d.Leaving,
	}
}

func mapAccount(path string, d accountDocument, problems *ProblemsError) ferry.Account {
	account := ferry.Account{ID: ferry.AccountID(d.ID), Rate: d.Rate, Burst: d.Burst}
	for i, text := range d.Keys {
		var hash ferry.KeyHash
		var raw []byte
		var err error
		if raw, err = hex.DecodeString(text); err != nil || len(raw) != len(hash) {
			problems.add(fmt.Sprintf("%s.Keys[%d]", path, i), "expected a SHA-256 digest of %d hexadecimal digits", 2*len(hash))
			continue
		}
		copy(hash[:], raw)
		account.Keys = append(account.Keys, hash)
	}
	return account
}

func mapRoute(path string, d routeDocument, problems *ProblemsError) ferry.Route {
	route := ferry.Route{
		ID:                ferry.RouteID(d.ID),
		Host:              d.Host,
		PathPrefix:        d.PathPrefix,
		Service:           ferry.ServiceID(d.Service),
		Open:              d.Open,
		IdempotentMethods: d.IdempotentMethods,
		Deadline:          parseDuration(path+".Deadline", d.Deadline, problems),
		BodyLimit:         d.BodyLimit,
	}
	if route.Deadline == 0 {
		route.Deadline = ferry.DefaultDeadline
	}
	if route.BodyLimit == 0 {
		route.BodyLimit = ferry.DefaultBodyLimit
	}
	return route
}

func parseDuration(path, text string, problems *ProblemsError) time.Duration {
	if text == "" {
		return 0
	}
	var d time.Duration
	var err error
	if d, err = time.ParseDuration(text); err != nil {
		problems.add(path, "expected a duration such as \"1.5s\", found %q", text)
		return 0
	}
	if d <= 0 {
		problems.add(path, "the duration must be above zero")
	}
	return d
}

func parseAddress(path, text string, problems *ProblemsError) netip.AddrPort {
	var address netip.AddrPort
	var err error
	if address, err = netip.ParseAddrPort(text); err != nil {
		problems.add(path, "expected an IP address and port, found %q", text)
	}
	return address
}

// ParseVMList decodes the platform's list of VMs. It returns ProblemsError if the
// list is invalid.
func ParseVMList(text []byte) (ferry.VMList, error) {
	var document vmListDocument
	if err := decode(text, &document); err != nil {
		return ferry.VMList{}, err
	}
	var problems ProblemsError
	list := ferry.VMList{Version: document.Version}
	seen := map[string]bool{}
	for i, d := range document.VMs {
		path := fmt.Sprintf("VMs[%d]", i)
		checkID(path, d.ID, seen, &problems)
		list.VMs = append(list.VMs, ferry.VM{
			ID:      ferry.VMID(d.ID),
			Place:   ferry.PlaceID(d.Place),
			Callers: parseAddress(path+".Callers", d.Callers, &problems),
			Peers:   parseAddress(path+".Peers", d.Peers, &problems),
			Admin:   parseAddress(path+".Admin", d.Admin, &problems),
			Leaving: d.Leaving,
		})
	}
	return list, problems.errorOrNil()
}

// FormatVMList encodes a list of VMs.
func FormatVMList(list ferry.VMList) ([]byte, error) {
	document := vmListDocument{Version: list.Version}
	for _, vm := range list.VMs {
		document.VMs = append(document.VMs, vmDocument{
			ID: string(vm.ID), Place: string(vm.Place),
			Callers: vm.Callers.String(), Peers: vm.Peers.String(), Admin: vm.Admin.String(),
			Leaving: vm.Leaving,
		})
	}
	return json.Marshal(document)
}

// FormatInventory encodes an inventory as one document.
func FormatInventory(inventory *ferry.Inventory) ([]byte, error) {
	return json.MarshalIndent(toDocument(inventory), "", "  ")
}

func toDocument(inventory *ferry.Inventory) inventoryDocument {
	document := inventoryDocument{Version: inventory.Version, MaxVMs: inventory.MaxVMs}
	for _, p := range inventory.Places {
		document.Places = append(document.Places, placeDocument{ID: string(p.ID), Region: string(p.Region)})
	}
	for _, s := range inventory.Services {
		r := s.Rules
		document.Services = append(document.Services, serviceDocument{
			ID: string(s.ID), Floor: r.Floor, Sensitivity: r.Sensitivity, BaselineErrors: r.BaselineErrors,
			RetryBudget: r.RetryBudget, MaxEjection: formatDuration(r.MaxEjection), StallAfter: formatDuration(r.StallAfter),
		})
	}
	for _, t := range inventory.Targets {
		document.Targets = append(document.Targets, targetDocument{
			ID: string(t.ID), Service: string(t.Service), Place: string(t.Place), Address: t.Address.String(),
			Slots: t.Slots, MaxConnections: t.MaxConnections, Leaving: t.Leaving,
		})
	}
	for _, a := range inventory.Accounts {
		d := accountDocument{ID: string(a.ID), Rate: a.Rate, Burst: a.Burst}
		for _, key := range a.Keys {
			d.Keys = append(d.Keys, hex.EncodeToString(key[:]))
		}
		document.Accounts = append(document.Accounts, d)
	}
	for _, r := range inventory.Routes {
		document.Routes = append(document.Routes, routeDocument{
			ID: string(r.ID), Host: r.Host, PathPrefix: r.PathPrefix, Service: string(r.Service), Open: r.Open,
			IdempotentMethods: r.IdempotentMethods, Deadline: formatDuration(r.Deadline), BodyLimit: r.BodyLimit,
		})
	}
	return document
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
