// Package room decides, for one service at one VM, which request is sent, which
// waits, which is refused and when a refused one may return.
//
// # Concept
//
// Targets say in their responses when all their slots are taken. Until one does,
// every request is admitted and nothing is computed but the number in flight and the
// shares of busy and full targets among the reports. A shed by a full target while most
// targets are busy puts a concurrency limit in force. It follows what the targets
// really take: it falls by a factor after a further such shed and grows by a part of a
// slot with each answered request (AIMD), and it ends some seconds after the last shed.
//
// Two kinds of sheds say nothing about room. A target that sheds with free slots fails;
// it is not reported to this package. A full target beside others with free slots is
// slow, and a matter of choosing targets.
//
// Requests over the limit wait:
//
//   - The most urgent rank is served first. Each less urgent rank keeps a small part
//     of the room (Room.LowerRankShare), so that none starves.
//   - Inside a rank accounts share by weight (start-time fair queueing): an account
//     that sends far more than others waits behind its own requests.
//   - Inside an account the request with the earliest deadline that can still be met
//     goes first.
//
// The queue is bounded in requests, in bytes and in the time of a request in it.
//
// A request is refused at once if, by an optimistic estimate, it cannot be served
// within its objective, or within its deadline if its objective is out of reach
// anyway. Longer waits would serve no request more: they would make those late that
// come after. The refusal tells when room is expected for that rank. Each refused
// request gets the next place in a schedule of the capacity that becomes free, and
// the account keeps a promise of that place: a request that comes in its time goes
// before new ones of its rank. The promises of an account are bounded.
//
// Room is pure: the caller passes the current monotonic time, which may jump. It is
// not safe for concurrent use. State lives in this VM's memory only; VMs share no
// room by messages, since each learns from the same targets.
//
// # Usage
//
//	decision := r.Arrive(now, room.Request{Account: "a", Rank: 1, Deadline: deadline})
//	if decision.Refusal != nil {
//		// Refuse, with decision.Refusal.RetryAfter.
//	}
//	select {
//	case resolution := <-decision.Ticket.Result:
//		// Admitted, or refused while it waited.
//	case <-callerLeft:
//		r.Cancel(now, decision.Ticket)
//	}
//	// Send the request. After a shed by a full target:
//	decision = r.Shed(now, ticket)
//	// At the end:
//	r.Answer(now, ticket, load) // or Release, without an answer
//
// At Room.OpensAt, Dispatch admits those that wait; all other calls do so themselves.
package room
