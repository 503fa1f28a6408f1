package demo

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/load"
)

// allowances returns the rates and bursts of the client accounts.
func (f *fleet) allowances() map[string]load.Allowance {
	return map[string]load.Allowance{
		"cooperative-1": {Rate: 80, Burst: 40},
		"cooperative-2": {Rate: 40, Burst: 20},
		"probes":        {Rate: 60, Burst: 40},
		"grower":        {Rate: 10, Burst: 10},
		"clinic-1":      {Rate: 40, Burst: 20},
		"clinic-2":      {Rate: 20, Burst: 10},
		"clinic-3":      {Rate: 20, Burst: 10},
		"clinic-4":      {Rate: 20, Burst: 10},
		pairAccount:     {Rate: 5000, Burst: 1000},
	}
}

// traffic returns the traffic of the client accounts. The account clinic-3 sends
// four times its rate.
func (f *fleet) traffic() []load.Account {
	get := func(id string, rate float64) load.Account {
		return load.Account{ID: id, Key: accountKey(id), Rate: rate, Method: http.MethodGet, Path: "/advice/field", Callers: vmCount}
	}
	post := func(id string, rate float64) load.Account {
		return load.Account{ID: id, Key: accountKey(id), Rate: rate, Method: http.MethodPost, Path: "/orders/new", BodyBytes: 200, Callers: vmCount}
	}
	return []load.Account{
		get("cooperative-1", 64), get("cooperative-2", 30), get("probes", 48), get("grower", 6),
		post("clinic-1", 30), post("clinic-2", 14), post("clinic-3", 80), post("clinic-4", 14),
	}
}

// publish publishes a new version of the configuration and of the list of VMs.
func (f *fleet) publish(ctx context.Context) (err error) {
	f.version++
	var manifest conf.Manifest
	var parts map[string][]byte
	if manifest, parts, err = conf.Split(f.inventory()); err != nil {
		return err
	}
	for name, body := range parts {
		if err = f.post(ctx, f.platform.address, "/control/values/"+name, string(body)); err != nil {
			return err
		}
	}
	list := ferry.VMList{Version: f.version}
	for _, v := range f.vms {
		list.VMs = append(list.VMs, ferry.VM{
			ID: ferry.VMID(v.id), Place: v.place,
			Callers: mustParseAddress(v.callers), Peers: mustParseAddress(v.peers), Admin: mustParseAddress(v.address),
		})
	}
	var text []byte
	if text, err = conf.FormatVMList(list); err != nil {
		return trace.Wrap(err)
	}
	if err = f.post(ctx, f.platform.address, "/control/values/"+conf.VMListName, string(text)); err != nil {
		return err
	}
	if text, err = conf.FormatManifest(manifest); err != nil {
		return trace.Wrap(err)
	}
	return f.post(ctx, f.platform.address, "/control/values/"+conf.ManifestName, string(text))
}

// inventory returns the inventory of a run in its current version.
func (f *fleet) inventory() *ferry.Inventory {
	inventory := &ferry.Inventory{Version: f.version, MaxVMs: f.size, Places: places()}
	for _, id := range []ferry.ServiceID{"advice", "orders", "echo"} {
		inventory.Services = append(inventory.Services, ferry.Service{ID: id, Rules: ferry.Rules{}.WithDefaults()})
	}
	for _, t := range f.targets {
		inventory.Targets = append(inventory.Targets, ferry.Target{
			ID: ferry.TargetID(t.id), Service: ferry.ServiceID(t.service), Place: t.place,
			Address: mustParseAddress(t.address), Slots: targetSlots, MaxConnections: conf.DefaultMaxConnections,
		})
	}
	for id, allowance := range f.allowances() {
		account := ferry.Account{ID: ferry.AccountID(id), Rate: allowance.Rate, Burst: allowance.Burst}
		if !f.isKeyWithdrawn || id != withdrawnAccount {
			account.Keys = []ferry.KeyHash{accountKeyHash(id)}
		}
		inventory.Accounts = append(inventory.Accounts, account)
	}
	f.addExtras(inventory)
	slices.SortFunc(inventory.Accounts, func(a, b ferry.Account) int { return strings.Compare(string(a.ID), string(b.ID)) })
	inventory.Routes = []ferry.Route{
		{ID: "advice", PathPrefix: "/advice/", Service: "advice", IdempotentMethods: []string{http.MethodGet}, Deadline: 5 * time.Second},
		{ID: "orders", PathPrefix: "/orders/", Service: "orders", Deadline: 5 * time.Second},
		{ID: "echo", PathPrefix: "/echo", Service: "echo", Open: true, IdempotentMethods: []string{http.MethodGet}, Deadline: time.Second},
		{ID: "paired", PathPrefix: "/paired", Service: "echo", IdempotentMethods: []string{http.MethodGet}, Deadline: time.Second},
	}
	return inventory
}

// addExtras adds accounts and targets that no request uses.
func (f *fleet) addExtras(inventory *ferry.Inventory) {
	for i := range f.extraAccounts {
		id := fmt.Sprintf("extra-%05d", i)
		inventory.Accounts = append(inventory.Accounts, ferry.Account{
			ID: ferry.AccountID(id), Rate: float64(10 + f.version), Burst: 10, Keys: []ferry.KeyHash{accountKeyHash(id)},
		})
	}
	for i := range f.extraTargets {
		inventory.Targets = append(inventory.Targets, ferry.Target{
			ID: ferry.TargetID(fmt.Sprintf("extra-%04d", i)), Service: "echo", Place: inventory.Places[i%len(inventory.Places)].ID,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1), Slots: targetSlots,
			MaxConnections: conf.DefaultMaxConnections,
		})
	}
}
