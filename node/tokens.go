package node

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/grant"
	"monsoonferry.org/ferry/lead/leadpb"
)

// tokenRequestReceived is a token request. from is invalid if this VM sent it.
type tokenRequestReceived struct {
	from    netip.AddrPort
	request grant.TokenRequest
}

// tokenReplyReceived is a reply to a token request of a place cache.
type tokenReplyReceived struct{ reply grant.TokenReply }

// sendTokenRequest sends a token request of this VM to its place leader.
func (n *Node) sendTokenRequest(request grant.TokenRequest) {
	server := n.tokenServer.Load()
	if server == nil || *server == n.dependencies.Settings.Peers {
		n.post(tokenRequestReceived{request: request})
		return
	}
	n.sendMessage(messageTokenRequest, *server, encodeTokenRequest(request))
}

// publishTokenServer publishes the VM that receives the token requests of this VM.
func (n *Node) publishTokenServer() {
	server, _ := n.controller.Leader()
	if n.controller.LeadsPlace() {
		server = n.dependencies.Settings.Peers
	}
	if current := n.tokenServer.Load(); current == nil || *current != server {
		n.tokenServer.Store(&server)
	}
}

// resetTokens empties the buckets after a change of the primary leader. Tokens of
// the place caches stay valid until they expire, unless this VM became the fleet
// leader, which grants from its buckets only.
func (n *Node) resetTokens() {
	n.issuer.Reset(n.clock.Now().Monotonic)
	if _, isSelf := n.controller.Leader(); isSelf {
		clear(n.placeCaches)
	}
}

// handleTokenRequest replies to a token request as the fleet leader, or serves it
// from a place cache as a place leader.
func (n *Node) handleTokenRequest(event tokenRequestReceived) {
	if _, isSelf := n.controller.Leader(); isSelf {
		n.sendTokenReply(event.from, n.grantTokens(event))
		return
	}
	if event.request.Hops >= grant.MaxHops {
		n.sendTokenReply(event.from, grant.TokenReply{Sequence: event.request.Sequence, Account: event.request.Account, Unavailable: true, Hops: event.request.Hops})
		return
	}
	cache := n.placeCaches[event.request.Account]
	if cache == nil {
		cache = grant.NewPlaceCache(event.request)
		n.placeCaches[event.request.Account] = cache
	}
	now := monotonicTime(n.clock)
	cache.AddRequest(now, event.from, event.request)
	n.servePlaceCache(now, cache)
}

// grantTokens replies to a token request as the fleet leader.
func (n *Node) grantTokens(event tokenRequestReceived) grant.TokenReply {
	now := n.clock.Now()
	reply := grant.TokenReply{Sequence: event.request.Sequence, Account: event.request.Account, Unavailable: true, Hops: event.request.Hops}
	share := n.controller.HeldShare(now)
	if snapshot := n.state.snapshot.Load(); snapshot != nil {
		if account := snapshot.AccountByID(event.request.Account); account != nil {
			reply = n.issuer.Grant(now.Monotonic, event.request, account, share)
		}
	}
	if reply.Unavailable || reply.Count < event.request.Waiting {
		n.log.Info("tokens refused", "account", event.request.Account, "from", event.from, "waiting", event.request.Waiting,
			"granted", reply.Count, "retryAfter", reply.RetryAfter, "share", share, "unknown", reply.Unavailable)
	}
	return reply
}

// sendTokenReply sends a reply. An invalid address stands for this VM.
func (n *Node) sendTokenReply(to netip.AddrPort, reply grant.TokenReply) {
	if !to.IsValid() {
		n.limiter.handleReply(reply)
		return
	}
	n.sendMessage(messageTokenReply, to, encodeTokenReply(reply))
}

// receiveTokenReply handles a reply to a token request of this VM's limiter, or
// posts a reply to one of its place caches to the loop.
func (n *Node) receiveTokenReply(reply grant.TokenReply) {
	if reply.Hops == 0 {
		n.limiter.handleReply(reply)
		return
	}
	n.post(tokenReplyReceived{reply: reply})
}

// handlePlaceReply handles a reply of the fleet leader to a place cache.
func (n *Node) handlePlaceReply(reply grant.TokenReply) {
	cache := n.placeCaches[reply.Account]
	if cache == nil {
		return
	}
	now := monotonicTime(n.clock)
	cache.HandleReply(now, reply)
	n.servePlaceCache(now, cache)
}

// servePlaceCache sends the request and the replies that are due at a place cache.
func (n *Node) servePlaceCache(now time.Duration, cache *grant.PlaceCache) {
	n.placeSequence++
	if request, isDue := cache.NextRequest(now, n.placeSequence); isDue {
		leader, _ := n.controller.Leader()
		n.sendMessage(messageTokenRequest, leader, encodeTokenRequest(request))
	}
	for _, addressed := range cache.TakeReplies(now) {
		n.sendTokenReply(addressed.To, addressed.Reply)
	}
}

// tickPlaceCaches sends what is due at the place caches and evicts the idle ones.
func (n *Node) tickPlaceCaches() {
	now := monotonicTime(n.clock)
	for id, cache := range n.placeCaches {
		if cache.IsIdle(now) {
			delete(n.placeCaches, id)
			continue
		}
		n.servePlaceCache(now, cache)
	}
}

func encodeTokenRequest(request grant.TokenRequest) *leadpb.Datagram {
	return &leadpb.Datagram{Body: &leadpb.Datagram_Ask{Ask: &leadpb.Ask{
		Sequence: request.Sequence, Account: string(request.Account), Count: uint32(request.Waiting + request.Prefetch), Waiting: uint32(request.Waiting),
		Spent: uint32(request.Spent), Hops: uint32(request.Hops),
	}}}
}

func decodeTokenRequest(message *leadpb.Ask) grant.TokenRequest {
	waiting := min(message.GetWaiting(), message.GetCount())
	return grant.TokenRequest{
		Sequence: message.GetSequence(), Account: ferry.AccountID(message.GetAccount()),
		Waiting: int(waiting), Prefetch: int(message.GetCount() - waiting), Spent: int(message.GetSpent()), Hops: int(message.GetHops()),
	}
}

func encodeTokenReply(reply grant.TokenReply) *leadpb.Datagram {
	return &leadpb.Datagram{Body: &leadpb.Datagram_Grant{Grant: &leadpb.Grant{
		Sequence: reply.Sequence, Account: string(reply.Account), Count: uint32(reply.Count),
		RetryAfter: uint32(reply.RetryAfter.Milliseconds()), Unknown: reply.Unavailable, Hops: uint32(reply.Hops), Partial: reply.Partial,
	}}}
}

func decodeTokenReply(message *leadpb.Grant) grant.TokenReply {
	return grant.TokenReply{
		Sequence: message.GetSequence(), Account: ferry.AccountID(message.GetAccount()), Count: int(message.GetCount()),
		RetryAfter: time.Duration(message.GetRetryAfter()) * time.Millisecond, Unavailable: message.GetUnknown(),
		Hops: int(message.GetHops()), Partial: message.GetPartial(),
	}
}
