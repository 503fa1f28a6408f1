package conf

import (
	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/auth"
	"monsoonferry.org/ferry/route"
)

// Snapshot indexes an inventory for the request path. It is immutable and
// implements ferry.Snapshot.
type Snapshot struct {
	inventory *ferry.Inventory
	routes    route.Table
	keys      auth.Index
	services  map[ferry.ServiceID]*ferry.Service
	accounts  map[ferry.AccountID]*ferry.Account
}

// NewSnapshot indexes the inventory.
func NewSnapshot(inventory *ferry.Inventory) *Snapshot {
	view := &Snapshot{
		inventory: inventory,
		routes:    route.NewTable(inventory.Routes),
		keys:      auth.NewIndex(inventory.Accounts),
		services:  make(map[ferry.ServiceID]*ferry.Service, len(inventory.Services)),
	}
	for i := range inventory.Services {
		view.services[inventory.Services[i].ID] = &inventory.Services[i]
	}
	view.accounts = make(map[ferry.AccountID]*ferry.Account, len(inventory.Accounts))
	for i := range inventory.Accounts {
		view.accounts[inventory.Accounts[i].ID] = &inventory.Accounts[i]
	}
	return view
}

// AccountByID returns the client account, or nil.
func (v *Snapshot) AccountByID(id ferry.AccountID) *ferry.Account { return v.accounts[id] }

// Version implements ferry.Snapshot.
func (v *Snapshot) Version() uint64 { return v.inventory.Version }

// Inventory returns the indexed inventory.
func (v *Snapshot) Inventory() *ferry.Inventory { return v.inventory }

// Route implements ferry.Snapshot.
func (v *Snapshot) Route(host, path string) *ferry.Route { return v.routes.Match(host, path) }

// Account implements ferry.Snapshot.
func (v *Snapshot) Account(key ferry.KeyHash) *ferry.Account { return v.keys.Owner(key) }

// Service implements ferry.Snapshot.
func (v *Snapshot) Service(id ferry.ServiceID) *ferry.Service { return v.services[id] }
