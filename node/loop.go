package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/lead"
	"monsoonferry.org/ferry/lead/leadpb"
	"monsoonferry.org/ferry/place"
)

// maxDatagramBytes bounds the datagrams that are read.
const maxDatagramBytes = 16 << 10

// States of an evacuation in the log and the metrics.
const (
	evacuationBegun = "Begun"
	evacuationEnded = "Ended"
)

// copyRequested is the event of another VM's request for a copy of the records
// after a revision. dictionary is the ID of the last one which that VM has.
type copyRequested struct {
	after, dictionary uint64
	reply             chan copyResult
}

type copyResult struct {
	packed     []byte
	dictionary uint64
	err        error
}

// copyReceived is the event of a compressed update received over TCP.
type copyReceived struct {
	packed     []byte
	dictionary uint64
}

// loop handles ticks and events. No other goroutine uses the controller.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(lead.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.tick(ctx)
		case event := <-n.events:
			n.handle(ctx, event)
		}
	}
}

func (n *Node) handle(ctx context.Context, event any) {
	switch event := event.(type) {
	case lead.Event:
		n.step(ctx, event)
	case tokenRequestReceived:
		n.handleTokenRequest(event)
	case tokenReplyReceived:
		n.handlePlaceReply(event.reply)
	case copyRequested:
		packed, dictionary, err := n.controller.PackSince(n.clock.Now(), event.after, event.dictionary)
		event.reply <- copyResult{packed: packed, dictionary: dictionary, err: err}
	case statusRequested:
		event.reply <- n.status()
	case settingsReloaded:
		n.applySettings(ctx, event.settings)
	case copyReceived:
		update, err := n.controller.UnpackUpdate(event.packed, event.dictionary)
		if err != nil {
			n.log.Warn("decompressing the records of another VM failed", "error", err)
			return
		}
		n.step(ctx, lead.Copied{Update: update})
	}
}

// settingsReloaded is the event of new settings.
type settingsReloaded struct{ settings conf.NodeSettings }

// Reload applies new seeds and bounds. New addresses, a new identity and a new
// place take effect at the next start of the process.
func (n *Node) Reload(settings conf.NodeSettings) { n.post(settingsReloaded{settings: settings}) }

func (n *Node) applySettings(ctx context.Context, settings conf.NodeSettings) {
	bounds := settings.Bounds
	n.state.bounds.Store(&bounds)
	n.chooser.SetFloor(bounds.Floor)
	n.chooser.SetEvenLoad(evenLoad(settings))
	n.log.Info("settings reloaded", "seeds", len(settings.Seeds))
	n.step(ctx, lead.SeedsChanged{Seeds: settings.Seeds})
	n.step(ctx, lead.BoundChanged{FreshWithin: freshWithin(bounds)})
}

// tick runs the periodic work.
func (n *Node) tick(ctx context.Context) {
	if used := n.chooser.TakeUsed(); len(used) > 0 {
		evidence := make([]lead.Evidence, len(used))
		for i, target := range used {
			evidence[i] = lead.Evidence{Target: target, IsUsed: true}
		}
		n.step(ctx, lead.Observed{Evidence: evidence})
	}
	if status := (lead.StatusChanged{Ready: n.IsReady(), Leaving: n.leaving.Load()}); status != n.reportedStatus {
		n.reportedStatus = status
		n.log.Info("readiness", "ready", status.Ready, "leaving", status.Leaving)
		n.step(ctx, status)
	} else {
		n.step(ctx, lead.Tick{})
	}
	n.tickCold()
	n.dealSlots()
	n.limiter.tick()
	n.tickPlaceCaches()
	now := n.clock.Now()
	division := n.controller.Division(now)
	n.setRetryBounds(division)
	if now.Monotonic-n.sweptAt > sweepInterval {
		n.sweptAt = now.Monotonic
		n.pool.Sweep(now.Monotonic, n.isListed)
		n.closeOverdueCallers()
		n.startCheck()
	}
	n.logFreshness()
	n.logViewSize()
	n.logDivision(now, division)
	n.traffic.log(now.Monotonic, n.log)
	n.logBudgets(now.Monotonic)
}

// startCheck starts the checks of a configuration that is newly in force. They run
// beside the loop, since they take longer than a message may wait, and at most once in
// sweepInterval.
func (n *Node) startCheck() {
	if snapshot := n.state.snapshot.Load(); snapshot != n.checked {
		n.checked = snapshot
		go logEntries(n.log, snapshot.Inventory())
	}
}

// closeOverdueCallers closes the connections of callers that take longer than the
// configuration allows.
func (n *Node) closeOverdueCallers() {
	idle, header := idleTimeout, headerTimeout
	if snapshot := n.state.snapshot.Load(); snapshot != nil {
		limits := snapshot.Limits()
		idle, header = cmp.Or(limits.IdleTime, idle), cmp.Or(limits.HeaderTime, header)
	}
	if count := n.listener.CloseOverdue(idle, header); count > 0 {
		n.log.Debug("connections of callers closed", "count", count, "idle", idle, "header", header)
	}
}

// logFreshness logs when the configuration becomes stale or current again.
func (n *Node) logFreshness() {
	isStale := !n.state.hasCurrentProof()
	if isStale == n.isStale {
		return
	}
	n.isStale = isStale
	age, _ := n.state.proofAge()
	records, _ := n.controller.Revisions()
	n.log.Info("freshness", "stale", isStale, "age", age, "revision", ferry.Revision(records))
}

func (n *Node) isListed(id ferry.TargetID, incarnation int64) bool {
	listed, found := n.listedTargets[id]
	return found && listed == incarnation
}

// step passes an event to the controller, performs the actions that it returns and
// publishes the proof of freshness.
func (n *Node) step(ctx context.Context, event lead.Event) {
	n.formerProof, n.hasFormerProof = n.controller.Proof()
	for _, action := range n.controller.Step(n.clock.Now(), event) {
		switch action := action.(type) {
		case lead.Send:
			n.sendExchange(action)
		case lead.StartRead:
			n.startRead(ctx, action)
		case lead.StartCopy:
			n.startCopy(ctx, action)
		case lead.RecordsChanged:
			n.publishRecords()
		case lead.ViewChanged:
			n.publishView()
		case lead.EvidenceChanged:
			n.chooser.SetFleetLogOdds(n.controller.Pooled())
		case lead.UseTargets:
			for _, target := range action.Targets {
				n.chooser.Ask(n.clock.Now().Monotonic, target, lead.UseWithin)
				n.metrics.GetOrCreateCounter("ferry_targets_asked_total").Inc()
				n.log.Debug("target asked for", "target", target)
			}
		case lead.AddCredits:
			for _, target := range action.Targets {
				n.chooser.AddCredit(target, action.Until)
			}
			n.log.Debug("credits", "targets", action.Targets, "remaining", action.Until.Since(n.clock.Now()))
		case lead.LeaderChanged:
			n.log.Info("lead", "lead", action.Leader, "leadsPlace", n.controller.LeadsPlace())
			n.resetTokens()
		case lead.ProofOverdue:
			n.logOverdueProof(action)
		case lead.ProofRenewed:
			n.log.Info("proof renewed", "after", action.After, "from", action.From)
		}
	}
	n.publishProof()
	n.publishTokenServer()
	n.logEpoch(event)
}

// logOverdueProof counts and logs that this VM reads the store as its leader has no proof.
func (n *Node) logOverdueProof(overdue lead.ProofOverdue) {
	n.metrics.GetOrCreateCounter("ferry_overdue_proofs_total").Inc()
	records, _ := n.controller.Revisions()
	fields := []any{"age", overdue.Age, "from", overdue.From, "lead", overdue.Leader, "revision", ferry.Revision(records)}
	if overdue.LeaderAge >= 0 {
		fields = append(fields, "leadAge", overdue.LeaderAge)
	}
	if overdue.RepliedAgo >= 0 {
		fields = append(fields, "repliedAgo", overdue.RepliedAgo)
	}
	n.log.Info("proof overdue", fields...)
}

// logOddEpoch counts an epoch that the store stated and that was not believed, and logs it if it
// differs from the last one.
func (n *Node) logOddEpoch(odd string) {
	if odd == "" {
		return
	}
	n.metrics.GetOrCreateCounter("ferry_store_odd_epochs_total").Inc()
	if last := n.oddEpoch.Swap(&odd); last == nil || *last != odd {
		n.log.Warn("epoch of the store not believed", "stated", odd)
	}
}

// logEpoch logs that the records are of a later epoch of the store: it was restored from an
// older copy, and responses of an earlier one. Only the loop calls it.
func (n *Node) logEpoch(event lead.Event) {
	records, _ := n.controller.Revisions()
	before, now := ferry.Revision(n.epochRevision), ferry.Revision(records)
	n.epochRevision = records
	if outdated := n.controller.OutdatedReads(); outdated > n.outdatedReads {
		n.outdatedReads = outdated
		n.metrics.GetOrCreateCounter("ferry_store_outdated_reads_total").Set(outdated)
		n.log.Warn("response of an earlier epoch of the store rejected", "epoch", now.Epoch(), "revision", now, "rejected", outdated)
	}
	if now.Epoch() == before.Epoch() || before == 0 {
		return
	}
	read, isRead := event.(lead.ReadEnded)
	n.metrics.GetOrCreateCounter("ferry_store_epochs_total").Inc()
	n.metrics.GetOrCreateCounter("ferry_store_kept_records_total").Set(n.controller.KeptRecords())
	n.log.Warn("store restored from an older copy", "epoch", now.Epoch(), "before", before.Epoch(), "revision", now, "revisionBefore", before,
		"fromStore", isRead, "listed", len(read.Listing.Records), "kept", n.controller.KeptRecords(), "deletionsHeldFor", n.controller.DeletionHold(n.clock.Now()))
}

// publishProof publishes the proof of freshness. Its records have to be in force: with
// a new proof and an old configuration, requests would use withdrawn keys.
func (n *Node) publishProof() {
	proof, ok := n.controller.Proof()
	if !ok {
		return
	}
	if current := n.state.proof.Load(); current == nil || *current != proof {
		n.state.proof.Store(&proof)
	}
	n.state.endFirstWait()
}

// publishView publishes the view to the directory and the chooser.
func (n *Node) publishView() {
	view := n.controller.View()
	n.directory.SetView(view)
	n.traffic.setView(view)
	var readyInPlace []netip.AddrPort
	for _, vm := range view {
		if vm.Place == n.dependencies.Settings.Place && vm.Ready && !vm.Leaving {
			readyInPlace = append(readyInPlace, vm.Peers)
		}
	}
	n.chooser.SetPlaceVMs(len(readyInPlace))
	n.chooser.SetPeers(n.dependencies.Settings.Peers, readyInPlace)
}

// logViewSize logs a changed size of the view. It runs at ticks, since the view
// changes with every message while a fleet starts.
func (n *Node) logViewSize() {
	if size := len(n.controller.View()); size != n.viewSize {
		n.viewSize = size
		n.log.Info("view", "vms", n.viewSize, "fleet", n.controller.FleetSize())
	}
}

// logDivision logs when this VM divides the allowances and the retry slack among another
// number of VMs, or learns or no longer knows the size of the fleet.
func (n *Node) logDivision(now ferry.Moment, division lead.Division) {
	if division.Divisor == n.division.Divisor && division.IsKnown == n.division.IsKnown {
		return
	}
	n.log.Info("allowances divided", "among", division.Divisor, "before", n.division.Divisor, "known", division.IsKnown,
		"view", division.InView, "lost", division.Lost, "lostFor", division.LostFor, "met", division.HasContact, "metAgo", division.ContactAge, "share", n.controller.HeldShare(now))
	n.metrics.GetOrCreateCounter("ferry_allowance_divisions_total").Inc()
	n.division = division
}

// publishRecords decodes the records and publishes the inventory and targets.
func (n *Node) publishRecords() {
	now := n.clock.Now()
	decoded := n.recordCache.decode(n.controller.Live(now))
	inventory, targets := decoded.inventory, decoded.targets
	n.listedTargets = make(map[ferry.TargetID]int64, len(targets))
	for _, target := range targets {
		n.listedTargets[target.ID] = target.Incarnation
	}
	if inventory != nil {
		n.applyInventory(inventory)
	}
	n.applyEvacuations(now, decoded.evacuated)
	n.chooser.Update(now.Monotonic, targets)
	n.tickCold()
	n.controller.SetTargets(now, outsideEvacuated(targets, decoded.evacuated))
	records, _ := n.controller.Revisions()
	n.log.Info("records", "revision", ferry.Revision(records), "targets", len(targets))
}

// applyEvacuations puts the operators' requests to evacuate places in force.
func (n *Node) applyEvacuations(now ferry.Moment, evacuated map[ferry.PlaceID]bool) {
	proofAge := time.Duration(0)
	if n.hasFormerProof {
		proofAge = now.LongestSince(n.formerProof)
	}
	until := place.EvacuationEnd(now.Monotonic, proofAge, n.hasFormerProof, n.state.bounds.Load().EvacuateWithin)
	records, _ := n.controller.Revisions()
	places := slices.Sorted(maps.Keys(evacuated))
	for _, change := range n.chooser.SetEvacuated(now.Monotonic, evacuated, until) {
		state := evacuationBegun
		if change.IsOver {
			state = evacuationEnded
			n.chooser.AssumeCold(now.Monotonic, change.Place)
		}
		n.metrics.GetOrCreateCounter(fmt.Sprintf(`ferry_evacuations_total{state=%q}`, state)).Inc()
		n.log.Info("evacuation", "place", change.Place, "state", state, "revision", ferry.Revision(records), "evacuated", places, "proven", n.hasFormerProof,
			"proofAge", proofAge, "known", now.Monotonic-change.Since, "completeIn", max(0, change.Until-now.Monotonic))
	}
}

// outsideEvacuated returns the targets in places that are not evacuated. Only those are
// kept in use.
func outsideEvacuated(targets []ferry.Target, evacuated map[ferry.PlaceID]bool) []ferry.Target {
	if len(evacuated) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(target ferry.Target) bool { return evacuated[target.Place] })
}

// applyInventory puts an inventory in force if its version is higher.
func (n *Node) applyInventory(inventory *ferry.Inventory) {
	if current := n.state.snapshot.Load(); current != nil && current.Version() >= inventory.Version {
		n.log.Warn("configuration ignored: its version is not higher than the one in force", "version", inventory.Version, "inForce", current.Version())
		return
	}
	n.state.snapshot.Store(conf.NewSnapshot(inventory))
	n.chooser.SetServices(inventory.Services)
	for _, account := range inventory.Accounts {
		n.log.Debug("account configured", "account", account.ID, "rate", account.Rate, "burst", account.Burst, "keys", len(account.Keys))
	}
	n.log.Info("configuration", "version", inventory.Version, "routes", len(inventory.Routes), "accounts", len(inventory.Accounts))
}

// sendExchange sends a heartbeat or a reply.
func (n *Node) sendExchange(send lead.Send) {
	datagram, err := lead.EncodeExchange(send.Exchange)
	if err != nil {
		n.log.Error("encoding an exchange failed", "error", err)
		return
	}
	kind := messageReply
	if send.Exchange.IsHeartbeat {
		kind = messageHeartbeat
	}
	n.sendDatagram(kind, send.To, datagram)
}

func (n *Node) sendDatagram(kind messageKind, to netip.AddrPort, datagram []byte) {
	n.traffic.count(kind, to, len(datagram))
	if _, err := n.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		n.log.Debug("sending a datagram failed", "to", to, "error", err)
	}
}

func (n *Node) sendMessage(kind messageKind, to netip.AddrPort, message *leadpb.Datagram) {
	datagram, err := proto.Marshal(message)
	if err != nil {
		n.log.Error("encoding a token message failed", "error", err)
		return
	}
	n.sendDatagram(kind, to, datagram)
}

// startRead makes one call to the store in the background.
func (n *Node) startRead(ctx context.Context, read lead.StartRead) {
	go func() {
		ended := lead.ReadEnded{Sent: n.clock.Now(), Full: read.Full, After: read.After, Waited: read.Wait}
		if read.Full {
			ended.Listing, ended.Err = n.dependencies.Store.List(ctx)
		} else {
			ended.Listing, ended.Err = n.dependencies.Store.Watch(ctx, read.After, read.Wait)
		}
		n.logRead(read, ended)
		select {
		case n.events <- ended:
		case <-ctx.Done():
		}
	}()
}

// logRead counts a call to the store. It logs failed calls and lists, which are rare.
func (n *Node) logRead(read lead.StartRead, ended lead.ReadEnded) {
	call, result := "Watch", "Success"
	if read.Full {
		call = "List"
	}
	var fault *ferry.StoreError
	if errors.As(ended.Err, &fault) {
		result = fault.Fault.String()
	}
	n.metrics.GetOrCreateCounter(fmt.Sprintf(`ferry_store_calls_total{call=%q,result=%q}`, call, result)).Inc()
	n.logOddEpoch(ended.Listing.OddEpoch)
	switch {
	case ended.Err != nil:
		n.log.Info("store not read", "full", read.Full, "error", ended.Err)
	case read.Full:
		n.log.Info("store listed", "records", len(ended.Listing.Records), "revision", ferry.Revision(ended.Listing.Revision),
			"took", n.clock.Now().Since(ended.Sent))
	}
}

// readDatagrams receives datagrams until the socket is closed.
func (n *Node) readDatagrams(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || isClosed(err) {
				return
			}
			n.log.Debug("receiving a datagram failed", "error", err)
			continue
		}
		n.receiveDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:size])
	}
}

func (n *Node) receiveDatagram(from netip.AddrPort, datagram []byte) {
	var message leadpb.Datagram
	if err := proto.Unmarshal(datagram, &message); err != nil {
		n.log.Debug("decoding a datagram failed", "from", from, "error", err)
		return
	}
	switch body := message.GetBody().(type) {
	case *leadpb.Datagram_Exchange:
		exchange, err := lead.DecodeExchange(body.Exchange)
		if err != nil {
			n.log.Debug("decoding an exchange failed", "from", from, "error", err)
			return
		}
		n.post(lead.Received{From: from, Exchange: exchange})
	case *leadpb.Datagram_Ask:
		n.post(tokenRequestReceived{from: from, request: decodeTokenRequest(body.Ask)})
	case *leadpb.Datagram_Grant:
		n.receiveTokenReply(decodeTokenReply(body.Grant))
	}
}

func isClosed(err error) bool {
	operation, ok := err.(*net.OpError)
	return ok && operation.Err == net.ErrClosed
}
