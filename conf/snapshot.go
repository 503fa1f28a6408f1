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
	snapshot := &Snapshot{
		inventory: inventory,
		routes:    route.NewTable(inventory.Routes),
		keys:      auth.NewIndex(inventory.Accounts),
		services:  make(map[ferry.ServiceID]*ferry.Service, len(inventory.Services)),
	}
	for i := range inventory.Services {
		snapshot.services[inventory.Services[i].ID] = &inventory.Services[i]
	}
	snapshot.accounts = make(map[ferry.AccountID]*ferry.Account, len(inventory.Accounts))
	for i := range inventory.Accounts {
		snapshot.accounts[inventory.Accounts[i].ID] = &inventory.Accounts[i]
	}
	return snapshot
}

// AccountByID returns the client account, or nil.
func (s *Snapshot) AccountByID(id ferry.AccountID) *ferry.Account { return s.accounts[id] }

// Limits implements ferry.Snapshot.
func (s *Snapshot) Limits() ferry.CallerLimits { return s.inventory.Limits }

// Version implements ferry.Snapshot.
func (s *Snapshot) Version() uint64 { return s.inventory.Version }

// Inventory returns the indexed inventory.
func (s *Snapshot) Inventory() *ferry.Inventory { return s.inventory }

// Route implements ferry.Snapshot.
func (s *Snapshot) Route(host, path string) *ferry.Route { return s.routes.Match(host, path) }

// Account implements ferry.Snapshot.
func (s *Snapshot) Account(key ferry.KeyHash) *ferry.Account { return s.keys.Owner(key) }

// Service implements ferry.Snapshot.
func (s *Snapshot) Service(id ferry.ServiceID) *ferry.Service { return s.services[id] }
