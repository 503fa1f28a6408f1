// Package health detects targets that fail partially and decides which of them
// receive no requests.
//
// # Concept
//
// A Detector keeps two cumulative log-likelihood ratios (CUSUM) for each
// target and observing place (data centre): one of failed attempts, one of slow
// responses. Both compare the target with its own service, so a service that is
// slow as a whole has no suspects. Ratios of independent observers add up; VMs
// therefore exchange their increments, and the time to detect a fault falls
// with the traffic of the whole fleet.
//
// A Detector only suspects. Suspected targets are chosen last but stay in
// use. For each service, one VM, the ejection coordinator, runs an Ejector. It
// may eject at most the part of the capacity above the floor that its leased
// shares cover (see package limit). Two coordinators of one service, on the two
// sides of a partition, together stay above the floor. Ejections are short
// leases; a VM that was frozen has none when it resumes.
//
// An ejected target returns to full use through trial requests and a slow
// start. Each repeated ejection of a target lasts longer.
//
// # Usage
//
//	detector := health.NewDetector(place)
//	detector.Observe(now, target, distance, result)
//	report := detector.Report(now)
//	detector.Merge(now, otherPlace, otherReport)
//
//	ejections := ejector.Decide(now, detector, share)
package health
