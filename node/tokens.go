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
	ask  grant.TokenRequest
}

// answerReceived is an answer to an ask that this VM passed on.
type answerReceived struct{ answer grant.TokenReply }

// sendAsk carries an ask of this VM to the lead of its place.
func (n *Node) sendAsk(ask grant.TokenRequest) {
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
	n.holder.Reset(n.clock.Now().Steady)
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
		n.reply(event.from, grant.TokenReply{Sequence: event.ask.Sequence, Account: event.ask.Account, Unavailable: true, Hops: event.ask.Hops})
		return
	}
	branch := n.branches[event.ask.Account]
	if branch == nil {
		branch = grant.NewPlaceCache(event.ask)
		n.branches[event.ask.Account] = branch
	}
	now := steady(n.clock)
	branch.AddRequest(now, event.from, event.ask)
	n.serveBranch(now, branch)
}

// grantTokens decides on an ask as the first lead of the fleet.
func (n *Node) grantTokens(event askReceived) grant.TokenReply {
	now := n.clock.Now()
	answer := grant.TokenReply{Sequence: event.ask.Sequence, Account: event.ask.Account, Unavailable: true, Hops: event.ask.Hops}
	share := n.controller.HeldShare(now)
	if view := n.state.view.Load(); view != nil {
		if account := view.AccountByID(event.ask.Account); account != nil {
			answer = n.holder.Grant(now.Steady, event.ask, account, share)
		}
	}
	if answer.Unavailable || answer.Count < event.ask.Waiting {
		n.log.Info("tokens refused", "account", event.ask.Account, "from", event.from, "waiting", event.ask.Waiting,
			"granted", answer.Count, "retryAfter", answer.RetryAfter, "share", share, "unknown", answer.Unavailable)
	}
	return answer
}

// reply answers an ask of this or of another VM.
func (n *Node) reply(to netip.AddrPort, answer grant.TokenReply) {
	if !to.IsValid() {
		n.allowance.receive(answer)
		return
	}
	n.sendMessage(to, encodeAnswer(answer))
}

// receiveAnswer takes an answer to an ask of this VM's requests, or to one that
// it passed on.
func (n *Node) receiveAnswer(answer grant.TokenReply) {
	if answer.Hops == 0 {
		n.allowance.receive(answer)
		return
	}
	n.post(answerReceived{answer: answer})
}

// takeAnswer takes an answer of the first lead in, as the lead of a place.
func (n *Node) takeAnswer(answer grant.TokenReply) {
	branch := n.branches[answer.Account]
	if branch == nil {
		return
	}
	now := steady(n.clock)
	branch.HandleReply(now, answer)
	n.serveBranch(now, branch)
}

// serveBranch sends what is due for an account.
func (n *Node) serveBranch(now time.Duration, branch *grant.PlaceCache) {
	n.branchSequence++
	if ask, isDue := branch.NextRequest(now, n.branchSequence); isDue {
		leading, _ := n.controller.Lead()
		n.sendMessage(leading, encodeAsk(ask))
	}
	for _, reply := range branch.TakeReplies(now) {
		n.reply(reply.To, reply.Reply)
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

func encodeAsk(ask grant.TokenRequest) *leadpb.Datagram {
	return &leadpb.Datagram{Body: &leadpb.Datagram_Ask{Ask: &leadpb.Ask{
		Sequence: ask.Sequence, Account: string(ask.Account), Count: uint32(ask.Waiting + ask.Prefetch), Waiting: uint32(ask.Waiting),
		Spent: uint32(ask.Spent), Hops: uint32(ask.Hops),
	}}}
}

func decodeAsk(message *leadpb.Ask) grant.TokenRequest {
	waiting := min(message.GetWaiting(), message.GetCount())
	return grant.TokenRequest{
		Sequence: message.GetSequence(), Account: ferry.AccountID(message.GetAccount()),
		Waiting: int(waiting), Prefetch: int(message.GetCount() - waiting), Spent: int(message.GetSpent()), Hops: int(message.GetHops()),
	}
}

func encodeAnswer(answer grant.TokenReply) *leadpb.Datagram {
	return &leadpb.Datagram{Body: &leadpb.Datagram_Grant{Grant: &leadpb.Grant{
		Sequence: answer.Sequence, Account: string(answer.Account), Count: uint32(answer.Count),
		RetryAfter: uint32(answer.RetryAfter.Milliseconds()), Unknown: answer.Unavailable, Hops: uint32(answer.Hops), Partial: answer.Partial,
	}}}
}

func decodeAnswer(message *leadpb.Grant) grant.TokenReply {
	return grant.TokenReply{
		Sequence: message.GetSequence(), Account: ferry.AccountID(message.GetAccount()), Count: int(message.GetCount()),
		RetryAfter: time.Duration(message.GetRetryAfter()) * time.Millisecond, Unavailable: message.GetUnknown(),
		Hops: int(message.GetHops()), Partial: message.GetPartial(),
	}
}
