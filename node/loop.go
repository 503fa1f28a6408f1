package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/lead"
	"monsoonferry.org/ferry/lead/leadpb"
)

// maxDatagram is the largest datagram that is read, in bytes.
const maxDatagram = 16 << 10

// copyAsked asks the loop for records, for a VM that copies them.
type copyAsked struct {
	after, config uint64
	reply         chan copyReply
}

type copyReply struct {
	packed     []byte
	dictionary uint64
	err        error
}

// copyCame is a packed update that came over TCP.
type copyCame struct {
	packed     []byte
	dictionary uint64
}

// loop owns the controller.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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
	case askReceived:
		n.answerAsk(event)
	case answerReceived:
		n.takeAnswer(event.answer)
	case copyAsked:
		packed, dictionary, err := n.controller.Since(n.clock.Now(), event.after, event.config)
		event.reply <- copyReply{packed: packed, dictionary: dictionary, err: err}
	case statusAsked:
		event.reply <- n.status()
	case settingsCame:
		n.takeSettings(ctx, event.settings)
	case copyCame:
		update, err := n.controller.Unpack(event.packed, event.dictionary)
		if err != nil {
			n.log.Warn("copy not readable", "error", err)
			return
		}
		n.step(ctx, lead.Copied{Update: update})
	}
}

// settingsCame is a new content of the settings file.
type settingsCame struct{ settings conf.Node }

// Reload puts new seeds and bounds in force. Addresses, the identity and the
// place stay as they are until the process starts again.
func (n *Node) Reload(settings conf.Node) { n.post(settingsCame{settings: settings}) }

func (n *Node) takeSettings(ctx context.Context, settings conf.Node) {
	bounds := settings.Bounds
	n.state.bounds.Store(&bounds)
	n.chooser.SetFloor(bounds.Floor)
	n.log.Info("settings reloaded", "seeds", len(settings.Seeds))
	n.step(ctx, lead.Seeded{Seeds: settings.Seeds})
}

// tick does what is due by time.
func (n *Node) tick(ctx context.Context) {
	if told := (lead.Stated{Ready: n.IsReady(), Leaving: n.leaving.Load()}); told != n.told {
		n.told = told
		n.log.Info("readiness", "ready", told.Ready, "leaving", told.Leaving)
		n.step(ctx, told)
	} else {
		n.step(ctx, lead.Tick{})
	}
	n.allowance.tick()
	n.tickBranches()
	now := n.clock.Now()
	bounds := n.state.bounds.Load()
	n.budgets.SetBounds(bounds.RetryShare, bounds.RetrySlack, n.controller.FleetSize())
	if now.Monotonic-n.swept > sweepEvery {
		n.swept = now.Monotonic
		n.pool.Sweep(now.Monotonic, n.isListed)
	}
	n.noteStaleness()
	n.noteViewSize()
}

// noteStaleness logs when the proof of freshness is lost and regained.
func (n *Node) noteStaleness() {
	isStale := !n.state.IsCurrent()
	if isStale == n.isStale {
		return
	}
	n.isStale = isStale
	age, _ := n.state.age()
	records, _ := n.controller.Revisions()
	n.log.Info("freshness", "stale", isStale, "age", age, "revision", records)
}

func (n *Node) isListed(id ferry.TargetID, incarnation int64) bool {
	listed, found := n.listed[id]
	return found && listed == incarnation
}

// step feeds the controller and does what it returns.
func (n *Node) step(ctx context.Context, event lead.Event) {
	actions := n.controller.Step(n.clock.Now(), event)
	if proof, ok := n.controller.Proof(); ok {
		if known := n.state.proof.Load(); known == nil || *known != proof {
			n.state.proof.Store(&proof)
		}
	}
	for _, action := range actions {
		switch action := action.(type) {
		case lead.Send:
			n.sendExchange(action)
		case lead.StartRead:
			n.startRead(ctx, action)
		case lead.StartCopy:
			n.startCopy(ctx, action)
		case lead.RecordsChanged:
			n.publish()
		case lead.ViewChanged:
			n.noteView()
		case lead.EvidenceChanged:
			n.chooser.SetFleetLogOdds(n.controller.Pooled())
		case lead.Followed:
			n.log.Info("lead", "lead", action.Lead, "leadsPlace", n.controller.LeadsPlace())
			n.changeHolder()
		}
	}
	n.chooseAsked()
}

// noteView publishes the view.
func (n *Node) noteView() {
	view := n.controller.View()
	n.directory.SetView(view)
	near := 0
	for _, vm := range view {
		if vm.Place == n.parts.Settings.Place && vm.Ready && !vm.Leaving {
			near++
		}
	}
	n.chooser.SetPlaceVMs(near)
}

// noteViewSize logs the size of the view when it changed. While a fleet starts,
// the view changes with every message.
func (n *Node) noteViewSize() {
	if size := len(n.controller.View()); size != n.viewSize {
		n.viewSize = size
		n.log.Info("view", "vms", n.viewSize, "fleet", n.controller.FleetSize())
	}
}

// publish decodes the records and publishes what changed.
func (n *Node) publish() {
	now := n.clock.Now()
	inventory, targets := n.decoder.decode(n.controller.Live(now))
	n.listed = make(map[ferry.TargetID]int64, len(targets))
	for _, target := range targets {
		n.listed[target.ID] = target.Incarnation
	}
	if inventory != nil {
		n.adopt(inventory)
	}
	n.chooser.Update(now.Monotonic, targets)
	records, _ := n.controller.Revisions()
	n.log.Info("records", "revision", records, "targets", len(targets))
}

// adopt puts a configuration in force. Versions only rise.
func (n *Node) adopt(inventory *ferry.Inventory) {
	if known := n.state.view.Load(); known != nil && known.Version() >= inventory.Version {
		n.log.Warn("older configuration ignored", "version", inventory.Version, "inForce", known.Version())
		return
	}
	n.state.view.Store(conf.NewView(inventory))
	for _, account := range inventory.Accounts {
		n.log.Debug("account", "account", account.ID, "rate", account.Rate, "burst", account.Burst, "keys", len(account.Keys))
	}
	n.log.Info("configuration", "version", inventory.Version, "routes", len(inventory.Routes), "accounts", len(inventory.Accounts))
}

// sendExchange sends a beat or a pulse.
func (n *Node) sendExchange(send lead.Send) {
	datagram, err := lead.EncodeExchange(send.Exchange)
	if err != nil {
		n.log.Error("exchange not encoded", "error", err)
		return
	}
	n.sendDatagram(send.To, datagram)
}

func (n *Node) sendDatagram(to netip.AddrPort, datagram []byte) {
	if _, err := n.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		n.log.Debug("datagram not sent", "to", to, "error", err)
	}
}

func (n *Node) sendMessage(to netip.AddrPort, message *leadpb.Datagram) {
	datagram, err := proto.Marshal(message)
	if err != nil {
		n.log.Error("message not encoded", "error", err)
		return
	}
	n.sendDatagram(to, datagram)
}

// startRead makes one call to the store in the background.
func (n *Node) startRead(ctx context.Context, read lead.StartRead) {
	go func() {
		ended := lead.ReadEnded{Sent: n.clock.Now(), Full: read.Full, After: read.After, Waited: read.Wait}
		if read.Full {
			ended.Listing, ended.Err = n.parts.Register.List(ctx)
		} else {
			ended.Listing, ended.Err = n.parts.Register.Watch(ctx, read.After, read.Wait)
		}
		if ended.Err != nil {
			n.log.Info("store not read", "full", read.Full, "error", ended.Err)
		}
		select {
		case n.events <- ended:
		case <-ctx.Done():
		}
	}()
}

// readDatagrams passes datagrams to the loop until the socket is closed.
func (n *Node) readDatagrams(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || isClosed(err) {
				return
			}
			n.log.Debug("datagram not read", "error", err)
			continue
		}
		n.receiveDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:size])
	}
}

func (n *Node) receiveDatagram(from netip.AddrPort, datagram []byte) {
	var message leadpb.Datagram
	if err := proto.Unmarshal(datagram, &message); err != nil {
		n.log.Debug("datagram not readable", "from", from, "error", err)
		return
	}
	switch body := message.GetBody().(type) {
	case *leadpb.Datagram_Exchange:
		exchange, err := lead.DecodeExchange(body.Exchange)
		if err != nil {
			n.log.Debug("exchange not readable", "from", from, "error", err)
			return
		}
		n.post(lead.Received{From: from, Exchange: exchange})
	case *leadpb.Datagram_Ask:
		n.post(askReceived{from: from, ask: decodeAsk(body.Ask)})
	case *leadpb.Datagram_Grant:
		n.receiveAnswer(decodeAnswer(body.Grant))
	}
}

func isClosed(err error) bool {
	operation, ok := err.(*net.OpError)
	return ok && operation.Err == net.ErrClosed
}
