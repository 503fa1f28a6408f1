// Package gossip distributes accepted configurations between VMs.
//
// # Concept
//
// A Controller holds the inventory in force together with its manifest and
// parts, so that a VM can forward them while the platform is unavailable.
// Configurations are ordered by Stamp, that is by version number and then by the
// digest of the manifest. When two operators publish different configurations
// with the same number, all VMs therefore end with the same one.
//
// A VM that has just started is not ready until a majority of the other listed
// VMs have reported their stamps and it holds the newest of these
// configurations, because the platform may be stale. When it has reached no
// ready VM for coldStartWait, it accepts the platform's configuration.
//
// # Usage
//
//	controller := gossip.NewController()
//	for _, action := range controller.Step(now, gossip.ManifestEvent{Body: text}) {
//		switch action := action.(type) {
//		case gossip.FetchAction:
//			// read the named values from action.From
//		case gossip.ApplyAction:
//			// use action.Inventory
//		}
//	}
package gossip
