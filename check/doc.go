// Package check finds mistakes in an inventory before operators send it.
//
// # Concept
//
// All functions are pure: they take an inventory, and what else is known of the fleet
// (Context), and return findings. Each finding names a rule of the table Rules, which
// gives its severity. Error stands for what a VM can't use as it is written; Warning
// for entries that can never match, limits that contradict each other, and changes
// that callers will notice.
//
// Entries looks at one inventory. Changes compares one with the version in force.
// Both leave out the findings of the decoder, which the inventory itself holds; use
// Decoded for those. A Locator turns the position of an entry into the path in the
// operators' file, so that this package does not know the file's names.
//
// No finding holds a key, only the first digits of its digest.
//
// # Usage
//
//	findings := check.Decoded(inventory)
//	findings = append(findings, check.Entries(inventory, check.Context{}, check.DefaultLocator{})...)
//	findings = append(findings, check.Changes(inForce, inventory, check.DefaultLocator{})...)
//	check.Sort(findings)
//	os.Exit(check.Worst(findings).ExitCode())
package check
