// Package gossip carries accepted configurations between VMs.
//
// # Concept
//
// A Controller holds the inventory in force together with its manifest and
// parts, so that a VM can pass them on while the platform is away. Versions
// are ordered by Stamp, that is by version number and then by the digest of
// the manifest. Two operators who publish the same number at the same time
// therefore leave every VM with the same one of the two.
//
// A VM that has just started is not ready until it holds the newest
// configuration that a majority of the listed VMs knows, because the platform
// may be stale. When it hears nothing but other new VMs for a while, it
// trusts the platform.
//
// # Usage
//
//	controller := gossip.NewController()
//	for _, action := range controller.Step(now, gossip.ManifestEvent{Body: text}) {
//		switch action := action.(type) {
//		case gossip.FetchAction:
//			// read the named values from action.From
//		case gossip.ApplyAction:
//			// take action.Inventory into use
//		}
//	}
package gossip
