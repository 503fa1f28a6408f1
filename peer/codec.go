package peer

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/gossip"
	"monsoonferry.org/ferry/health"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/peer/peerpb"
)

// encode converts a message to its frame. It returns an error for a type that
// is not a Message.
func encode(message Message) (*peerpb.Frame, error) {
	switch m := message.(type) {
	case Hello:
		return &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: encodeHello(m)}}, nil
	case Heartbeat:
		return &peerpb.Frame{Body: &peerpb.Frame_Beat{Beat: encodeHeartbeat(m)}}, nil
	case limit.LeaseRequest:
		return &peerpb.Frame{Body: &peerpb.Frame_LeaseAsk{LeaseAsk: &peerpb.LeaseAsk{Sequence: m.Sequence, Mask: uint64(m.Mask)}}}, nil
	case limit.LeaseReply:
		return &peerpb.Frame{Body: &peerpb.Frame_LeaseAnswer{LeaseAnswer: encodeLeaseReply(m)}}, nil
	case limit.LeaseRelease:
		return &peerpb.Frame{Body: &peerpb.Frame_LeaseReturn{LeaseReturn: &peerpb.LeaseReturn{Sequence: m.Sequence, Mask: uint64(m.Mask)}}}, nil
	case limit.HandOver:
		return &peerpb.Frame{Body: &peerpb.Frame_HandOver{HandOver: encodeHandOver(m)}}, nil
	case limit.TokenRequest:
		return &peerpb.Frame{Body: &peerpb.Frame_GrantAsk{GrantAsk: encodeTokenRequest(m)}}, nil
	case limit.TokenReply:
		return &peerpb.Frame{Body: &peerpb.Frame_GrantAnswer{GrantAnswer: encodeTokenReply(m)}}, nil
	case Evidence:
		return &peerpb.Frame{Body: &peerpb.Frame_Evidence{Evidence: encodeEvidence(m)}}, nil
	case Fetch:
		return &peerpb.Frame{Body: &peerpb.Frame_Fetch{Fetch: &peerpb.Fetch{Name: m.Name}}}, nil
	case Value:
		return &peerpb.Frame{Body: &peerpb.Frame_Value{Value: &peerpb.Value{Name: m.Name, Body: m.Body, Found: m.Found}}}, nil
	}
	return nil, trace.BadParameter("message type %T has no frame", message)
}

// decode converts a frame to its message. It returns an error for a frame that is
// empty or out of range.
func decode(frame *peerpb.Frame, from, self limit.Process) (Message, error) {
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Hello:
		return decodeHello(body.Hello)
	case *peerpb.Frame_Beat:
		return decodeHeartbeat(body.Beat)
	case *peerpb.Frame_LeaseAsk:
		return limit.LeaseRequest{Holder: from, Sequence: body.LeaseAsk.GetSequence(), Mask: limit.Mask(body.LeaseAsk.GetMask())}, nil
	case *peerpb.Frame_LeaseAnswer:
		return decodeLeaseReply(body.LeaseAnswer, from, self)
	case *peerpb.Frame_LeaseReturn:
		return limit.LeaseRelease{Holder: from, Sequence: body.LeaseReturn.GetSequence(), Mask: limit.Mask(body.LeaseReturn.GetMask())}, nil
	case *peerpb.Frame_HandOver:
		return decodeHandOver(body.HandOver, from)
	case *peerpb.Frame_GrantAsk:
		return decodeTokenRequest(body.GrantAsk, from)
	case *peerpb.Frame_GrantAnswer:
		return decodeTokenReply(body.GrantAnswer)
	case *peerpb.Frame_Evidence:
		return decodeEvidence(body.Evidence)
	case *peerpb.Frame_Fetch:
		return Fetch{Name: body.Fetch.GetName()}, nil
	case *peerpb.Frame_Value:
		return Value{Name: body.Value.GetName(), Body: body.Value.GetBody(), Found: body.Value.GetFound()}, nil
	}
	return nil, trace.BadParameter("the frame is empty or of an unknown kind")
}

func encodeHello(m Hello) *peerpb.Hello {
	return &peerpb.Hello{
		ID: string(m.VM.ID), Incarnation: m.Incarnation, Place: string(m.VM.Place),
		Callers: m.VM.Callers.String(), Peers: m.VM.Peers.String(), Admin: m.VM.Admin.String(),
	}
}

func decodeHello(p *peerpb.Hello) (hello Hello, err error) {
	if p.GetID() == "" || p.GetIncarnation() == 0 {
		return hello, trace.BadParameter("the hello has no VM ID or no incarnation")
	}
	hello = Hello{
		VM:          ferry.VM{ID: ferry.VMID(p.GetID()), Place: ferry.PlaceID(p.GetPlace())},
		Incarnation: p.GetIncarnation(),
	}
	if hello.VM.Callers, err = netip.ParseAddrPort(p.GetCallers()); err != nil {
		return hello, trace.Wrap(err)
	}
	if hello.VM.Peers, err = netip.ParseAddrPort(p.GetPeers()); err != nil {
		return hello, trace.Wrap(err)
	}
	if hello.VM.Admin, err = netip.ParseAddrPort(p.GetAdmin()); err != nil {
		return hello, trace.Wrap(err)
	}
	return hello, nil
}

func encodeHeartbeat(m Heartbeat) *peerpb.Beat {
	return &peerpb.Beat{
		Sequence: m.Sequence, Echo: m.Echo, EchoIncarnation: m.EchoIncarnation,
		Version: m.Stamp.Version, Digest: m.Stamp.Digest[:], Ready: m.Ready, Leaving: m.Leaving,
		LeaseSequence: m.LeaseSequence, LeaseMask: uint64(m.LeaseMask),
	}
}

func decodeHeartbeat(p *peerpb.Beat) (Message, error) {
	heartbeat := Heartbeat{
		Sequence: p.GetSequence(), Echo: p.GetEcho(), EchoIncarnation: p.GetEchoIncarnation(),
		Stamp: gossip.Stamp{Version: p.GetVersion()}, Ready: p.GetReady(), Leaving: p.GetLeaving(),
		LeaseSequence: p.GetLeaseSequence(), LeaseMask: limit.Mask(p.GetLeaseMask()),
	}
	if copy(heartbeat.Stamp.Digest[:], p.GetDigest()) != len(heartbeat.Stamp.Digest) {
		return nil, trace.BadParameter("the digest of a heartbeat has %d bytes", len(p.GetDigest()))
	}
	return heartbeat, nil
}

func encodeLeaseReply(m limit.LeaseReply) *peerpb.LeaseAnswer {
	p := &peerpb.LeaseAnswer{
		HolderIncarnation: m.Holder.Incarnation, Sequence: m.Sequence,
		Mask: uint64(m.Mask), Parts: uint32(m.Parts),
	}
	for _, o := range m.Released {
		p.Origins = append(p.Origins, &peerpb.Origin{
			Holder:   &peerpb.Process{ID: string(o.Release.Holder.VM), Incarnation: o.Release.Holder.Incarnation},
			Sequence: o.Release.Sequence, Mask: uint64(o.Mask),
		})
	}
	return p
}

func decodeLeaseReply(p *peerpb.LeaseAnswer, from, self limit.Process) (Message, error) {
	reply := limit.LeaseReply{
		Lessor:   from,
		Holder:   limit.Process{VM: self.VM, Incarnation: p.GetHolderIncarnation()},
		Sequence: p.GetSequence(), Mask: limit.Mask(p.GetMask()), Parts: int(p.GetParts()),
	}
	for _, o := range p.GetOrigins() {
		holder := limit.Process{VM: ferry.VMID(o.GetHolder().GetID()), Incarnation: o.GetHolder().GetIncarnation()}
		reply.Released = append(reply.Released, limit.ReleasedShards{
			Release: limit.ReleaseID{Holder: holder, Sequence: o.GetSequence()}, Mask: limit.Mask(o.GetMask()),
		})
	}
	return reply, nil
}

func encodeHandOver(m limit.HandOver) *peerpb.HandOver {
	p := &peerpb.HandOver{Sequence: m.Release.Sequence}
	for _, b := range m.Balances {
		p.Balances = append(p.Balances, &peerpb.Balance{Account: string(b.Account), Fill: b.Fill})
	}
	return p
}

func decodeHandOver(p *peerpb.HandOver, from limit.Process) (Message, error) {
	handOver := limit.HandOver{Release: limit.ReleaseID{Holder: from, Sequence: p.GetSequence()}}
	for _, b := range p.GetBalances() {
		if !isFinite(b.GetFill()) || b.GetFill() < 0 {
			return nil, trace.BadParameter("the bucket level of account %q is out of range", b.GetAccount())
		}
		handOver.Balances = append(handOver.Balances, limit.Balance{Account: ferry.AccountID(b.GetAccount()), Fill: b.GetFill()})
	}
	return handOver, nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

func encodeTokenRequest(m limit.TokenRequest) *peerpb.GrantAsk {
	p := &peerpb.GrantAsk{Sequence: m.Sequence, Account: string(m.Account), Need: uint32(m.Needed), Ahead: uint32(m.Prefetch)}
	for _, r := range m.Reports {
		p.Reports = append(p.Reports, &peerpb.Report{Sequence: r.Sequence, Spent: uint32(r.Spent), Returned: uint32(r.Returned)})
	}
	return p
}

// maxTokens bounds the numbers of tokens in one message.
const maxTokens = 1 << 24

func decodeTokenRequest(p *peerpb.GrantAsk, from limit.Process) (Message, error) {
	if p.GetNeed() > maxTokens || p.GetAhead() > maxTokens {
		return nil, trace.BadParameter("the request for %d needed and %d prefetched tokens is out of range", p.GetNeed(), p.GetAhead())
	}
	request := limit.TokenRequest{
		From: from, Sequence: p.GetSequence(), Account: ferry.AccountID(p.GetAccount()),
		Needed: int(p.GetNeed()), Prefetch: int(p.GetAhead()),
	}
	for _, r := range p.GetReports() {
		request.Reports = append(request.Reports, limit.Report{Sequence: r.GetSequence(), Spent: int(r.GetSpent()), Returned: int(r.GetReturned())})
	}
	return request, nil
}

func encodeTokenReply(m limit.TokenReply) *peerpb.GrantAnswer {
	return &peerpb.GrantAnswer{
		Sequence: m.Sequence, Account: string(m.Account), Granted: uint32(m.Granted),
		Word: uint32(m.Status), RetryAfterMicros: uint64(m.RetryAfter.Microseconds()),
	}
}

func decodeTokenReply(p *peerpb.GrantAnswer) (Message, error) {
	if p.GetGranted() > maxTokens || limit.GrantStatus(p.GetWord()) > limit.StatusNoAccount {
		return nil, trace.BadParameter("the token reply has an unknown status or too many tokens")
	}
	return limit.TokenReply{
		Sequence: p.GetSequence(), Account: ferry.AccountID(p.GetAccount()), Granted: int(p.GetGranted()),
		Status: limit.GrantStatus(p.GetWord()), RetryAfter: time.Duration(p.GetRetryAfterMicros()) * time.Microsecond,
	}, nil
}

func encodeEvidence(m Evidence) *peerpb.Evidence {
	p := &peerpb.Evidence{Echo: m.Echo, EchoIncarnation: m.EchoIncarnation}
	for _, increment := range m.Increments {
		p.Targets = append(p.Targets, &peerpb.TargetEvidence{
			Target: string(increment.Target), Errors: float32(increment.Errors), Slowness: float32(increment.Slowness),
			Good: uint32(increment.Good), Bad: uint32(increment.Bad),
		})
	}
	for _, e := range m.Ejections {
		p.Ejections = append(p.Ejections, &peerpb.Ejection{
			Target: string(e.Target), Place: string(e.Place), Stage: uint32(e.Stage),
			Relapses: uint32(e.PriorEjections), StageMillis: uint32(e.Age.Milliseconds()),
		})
	}
	return p
}

func decodeEvidence(p *peerpb.Evidence) (Message, error) {
	evidence := Evidence{Echo: p.GetEcho(), EchoIncarnation: p.GetEchoIncarnation()}
	for _, t := range p.GetTargets() {
		increment := health.Increment{
			Target: ferry.TargetID(t.GetTarget()), Errors: float64(t.GetErrors()), Slowness: float64(t.GetSlowness()),
			Good: int(t.GetGood()), Bad: int(t.GetBad()),
		}
		if !isFinite(increment.Errors) || !isFinite(increment.Slowness) {
			return nil, trace.BadParameter("the evidence about target %q is not finite", increment.Target)
		}
		evidence.Increments = append(evidence.Increments, increment)
	}
	for _, e := range p.GetEjections() {
		stage := health.Stage(e.GetStage())
		if stage > health.StageSlowStart {
			return nil, trace.BadParameter("the ejection of target %q has the unknown stage %d", e.GetTarget(), stage)
		}
		evidence.Ejections = append(evidence.Ejections, health.Ejection{
			Target: ferry.TargetID(e.GetTarget()), Place: ferry.PlaceID(e.GetPlace()), Stage: stage,
			PriorEjections: int(e.GetRelapses()), Age: time.Duration(e.GetStageMillis()) * time.Millisecond,
		})
	}
	return evidence, nil
}

// typeName returns the Go type of a message, for errors.
func typeName(message Message) string { return fmt.Sprintf("%T", message) }
