package node

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/grant"
	"monsoonferry.org/ferry/lead/leadpb"
)

// askReceived is an ask for tokens. from is invalid for the VM's own.
type askReceived struct {
	from netip.AddrPort
	ask  grant.Ask
}

// answerReceived is an answer to an ask that this VM passed on.
type answerReceived struct{ answer grant.Answer }

// sendAsk carries an ask of this VM to the lead of its place.
func (n *Node) sendAsk(ask grant.Ask) {
	asked := n.asked.Load()
	if asked == nil || *asked == n.parts.Settings.Peers {
		n.post(askReceived{ask: ask})
		return
	}
	n.sendMessage(*asked, encodeAsk(ask))
}

// chooseAsked publishes which VM requests ask for tokens.
func (n *Node) chooseAsked() {
	asked, _ := n.controller.Lead()
	if n.controller.LeadsPlace() {
		asked = n.parts.Settings.Peers
	}
	if known := n.asked.Load(); known == nil || *known != asked {
		n.asked.Store(&asked)
	}
}

// changeHolder begins anew after a change of the first lead. Tokens that this
// VM got from the last one for others stay good until they end.
func (n *Node) changeHolder() {
	n.holder.Start(n.clock.Now().Monotonic)
	if _, isSelf := n.controller.Lead(); isSelf {
		clear(n.branches)
	}
}

// answerAsk decides on an ask as the first lead of the fleet, or passes it on
// as the lead of a place.
func (n *Node) answerAsk(event askReceived) {
	if _, isSelf := n.controller.Lead(); isSelf {
		n.reply(event.from, n.grantTokens(event))
		return
	}
	if event.ask.Hops >= grant.MaxHops {
		n.reply(event.from, grant.Answer{Sequence: event.ask.Sequence, Account: event.ask.Account, Unknown: true, Hops: event.ask.Hops})
		return
	}
	branch := n.branches[event.ask.Account]
	if branch == nil {
		branch = grant.NewBranch(event.ask)
		n.branches[event.ask.Account] = branch
	}
	now := steady(n.clock)
	branch.Claim(now, event.from, event.ask)
	n.serveBranch(now, branch)
}

// grantTokens decides on an ask as the first lead of the fleet.
func (n *Node) grantTokens(event askReceived) grant.Answer {
	now := n.clock.Now()
	answer := grant.Answer{Sequence: event.ask.Sequence, Account: event.ask.Account, Unknown: true, Hops: event.ask.Hops}
	share := n.controller.HeldShare(now)
	if view := n.state.view.Load(); view != nil {
		if account := view.AccountByID(event.ask.Account); account != nil {
			answer = n.holder.Answer(now.Monotonic, event.ask, account, share)
		}
	}
	if answer.Unknown || answer.Count < event.ask.Waiting {
		n.log.Info("tokens refused", "account", event.ask.Account, "from", event.from, "waiting", event.ask.Waiting,
			"granted", answer.Count, "retryAfter", answer.RetryAfter, "share", share, "unknown", answer.Unknown)
	}
	return answer
}

// reply answers an ask of this or of another VM.
func (n *Node) reply(to netip.AddrPort, answer grant.Answer) {
	if !to.IsValid() {
		n.allowance.receive(answer)
		return
	}
	n.sendMessage(to, encodeAnswer(answer))
}

// receiveAnswer takes an answer to an ask of this VM's requests, or to one that
// it passed on.
func (n *Node) receiveAnswer(answer grant.Answer) {
	if answer.Hops == 0 {
		n.allowance.receive(answer)
		return
	}
	n.post(answerReceived{answer: answer})
}

// takeAnswer takes an answer of the first lead in, as the lead of a place.
func (n *Node) takeAnswer(answer grant.Answer) {
	branch := n.branches[answer.Account]
	if branch == nil {
		return
	}
	now := steady(n.clock)
	branch.Receive(now, answer)
	n.serveBranch(now, branch)
}

// serveBranch sends what is due for an account.
func (n *Node) serveBranch(now time.Duration, branch *grant.Branch) {
	n.branchSequence++
	if ask, isDue := branch.Due(now, n.branchSequence); isDue {
		leading, _ := n.controller.Lead()
		n.sendMessage(leading, encodeAsk(ask))
	}
	for _, reply := range branch.Replies(now) {
		n.reply(reply.To, reply.Answer)
	}
}

// tickBranches repeats asks without an answer and forgets idle accounts.
func (n *Node) tickBranches() {
	now := steady(n.clock)
	for id, branch := range n.branches {
		if branch.IsIdle(now) {
			delete(n.branches, id)
			continue
		}
		n.serveBranch(now, branch)
	}
}

func encodeAsk(ask grant.Ask) *leadpb.Datagram {
	return &leadpb.Datagram{Body: &leadpb.Datagram_Ask{Ask: &leadpb.Ask{
		Sequence: ask.Sequence, Account: string(ask.Account), Count: uint32(ask.Waiting + ask.Ahead), Waiting: uint32(ask.Waiting),
		Spent: uint32(ask.Spent), Hops: uint32(ask.Hops),
	}}}
}

func decodeAsk(message *leadpb.Ask) grant.Ask {
	waiting := min(message.GetWaiting(), message.GetCount())
	return grant.Ask{
		Sequence: message.GetSequence(), Account: ferry.AccountID(message.GetAccount()),
		Waiting: int(waiting), Ahead: int(message.GetCount() - waiting), Spent: int(message.GetSpent()), Hops: int(message.GetHops()),
	}
}

func encodeAnswer(answer grant.Answer) *leadpb.Datagram {
	return &leadpb.Datagram{Body: &leadpb.Datagram_Grant{Grant: &leadpb.Grant{
		Sequence: answer.Sequence, Account: string(answer.Account), Count: uint32(answer.Count),
		RetryAfter: uint32(answer.RetryAfter.Milliseconds()), Unknown: answer.Unknown, Hops: uint32(answer.Hops), Partial: answer.Partial,
	}}}
}

func decodeAnswer(message *leadpb.Grant) grant.Answer {
	return grant.Answer{
		Sequence: message.GetSequence(), Account: ferry.AccountID(message.GetAccount()), Count: int(message.GetCount()),
		RetryAfter: time.Duration(message.GetRetryAfter()) * time.Millisecond, Unknown: message.GetUnknown(),
		Hops: int(message.GetHops()), Partial: message.GetPartial(),
	}
}
