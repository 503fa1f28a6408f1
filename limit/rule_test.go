package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

var (
	holderA = Process{VM: "a", Incarnation: 1}
	holderB = Process{VM: "b", Incarnation: 1}
	lenderC = Process{VM: "c", Incarnation: 1}
)

// moment is a time at which both clocks agree.
func moment(d time.Duration) ferry.Moment {
	return ferry.Moment{Steady: d, Wall: epoch + d}
}

// namesAll is a view in which one VM holds every shard.
func namesAll(id ferry.VMID) Placement {
	var p Placement
	for i := range p {
		p[i] = id
	}
	return p
}

// lentAt returns a lender that may lend from the given time.
func lentAt(parts int) *Lessor {
	l := NewLessor(lenderC, moment(-time.Minute))
	l.SetShare(moment(-time.Minute), parts, true)
	return l
}

func ask(holder Process, sequence uint64) LeaseRequest {
	return LeaseRequest{Holder: holder, Sequence: sequence, Mask: AccountMask}
}

// holding returns a holder with the whole of every allowance from time zero.
func holding(account ferry.Account) *Holder {
	h := NewHolder(holderA)
	h.SetAccounts(moment(0), []ferry.Account{account})
	a := h.RequestLeases(moment(0), AccountMask)
	h.Renew(moment(0), lentAt(1).Lease(moment(0), a, namesAll("a")))
	return h
}

func TestLenderRules(t *testing.T) {
	is := is.New(t)
	l := lentAt(4)
	is.Equal(l.Lease(moment(0), ask(holderA, 1), namesAll("a")).Mask, AccountMask)
	is.Equal(l.ActiveLeases(moment(LeaseTerm)), AccountShards)
	is.Equal(l.ActiveLeases(moment(LeaseTerm+MaxClockDrift)), 0)
	is.Equal(l.Lease(moment(LeaseTerm), ask(holderB, 1), namesAll("b")).Mask, Mask(0))                   // the term of a has not ended
	is.Equal(l.Lease(moment(LeaseTerm+MaxClockDrift), ask(holderB, 1), namesAll("b")).Mask, AccountMask) // now it has
	is.Equal(l.Lease(moment(LeaseTerm+MaxClockDrift), ask(holderA, 2), namesAll("b")).Mask, Mask(0))     // the view names another holder
	again := Process{VM: "b", Incarnation: 2}
	is.Equal(l.Lease(moment(LeaseTerm+time.Second), ask(again, 1), namesAll("b")).Mask, Mask(0)) // a restarted holder is another process
}

func TestLenderWaitsAfterStart(t *testing.T) {
	is := is.New(t)
	l := NewLessor(lenderC, moment(0))
	l.SetShare(moment(0), 4, true)
	is.Equal(l.Lease(moment(LeaseTerm+MaxClockDrift), ask(holderA, 1), namesAll("a")).Mask, Mask(0))
	is.Equal(l.Lease(moment(LeaseTerm+2*MaxClockDrift), ask(holderA, 2), namesAll("a")).Mask, AccountMask)
	service := LeaseRequest{Holder: holderA, Sequence: 3, Mask: ^AccountMask}
	is.Equal(l.Lease(moment(LeaseTerm+2*MaxClockDrift), service, namesAll("a")).Mask, Mask(0))
	is.Equal(l.Lease(moment(ServiceLeaseTerm+2*MaxClockDrift), service, namesAll("a")).Mask, ^AccountMask)
}

func TestLenderReturn(t *testing.T) {
	is := is.New(t)
	l := lentAt(4)
	l.Lease(moment(0), ask(holderA, 1), namesAll("a"))
	l.Release(moment(time.Second), LeaseRelease{Holder: holderB, Sequence: 5, Mask: AccountMask})
	is.Equal(l.Lease(moment(2*time.Second), ask(holderB, 6), namesAll("b")).Mask, Mask(0)) // b cannot return what a holds
	l.Release(moment(time.Second), LeaseRelease{Holder: holderA, Sequence: 5, Mask: AccountMask})
	is.Equal(l.Lease(moment(time.Second), ask(holderA, 4), namesAll("a")).Mask, Mask(0))               // a crossed ask from before the return
	is.Equal(l.Lease(moment(time.Second+GrantLifetime), ask(holderB, 1), namesAll("b")).Mask, Mask(0)) // grants may still be in use
	answer := l.Lease(moment(time.Second+GrantLifetime+MaxClockDrift), ask(holderB, 2), namesAll("b"))
	is.Equal(answer.Mask, AccountMask)
	is.Equal(answer.Released, []ReleasedShards{{Release: ReleaseID{Holder: holderA, Sequence: 5}, Mask: AccountMask}})
}

func TestLenderShareChanges(t *testing.T) {
	is := is.New(t)
	l := lentAt(4)
	l.SetShare(moment(0), 5, true)
	is.Equal(l.Lease(moment(0), ask(holderA, 1), namesAll("a")).Parts, 5) // a smaller share holds at once
	l.SetShare(moment(0), 2, true)
	is.Equal(l.Lease(moment(changeTime-1), ask(holderA, 2), namesAll("a")).Parts, 5)
	is.Equal(l.Lease(moment(changeTime), ask(holderA, 3), namesAll("a")).Parts, 2) // a larger one later
	l.SetShare(moment(changeTime), 2, false)
	is.Equal(l.Lease(moment(changeTime), ask(holderA, 4), namesAll("a")).Mask, Mask(0))
	l.SetShare(moment(changeTime), 2, true)
	is.Equal(l.Lease(moment(changeTime+LeaseTerm), ask(holderA, 5), namesAll("a")).Mask, Mask(0)) // a share that comes back waits
}

func TestHolderCountsFromTheAsk(t *testing.T) {
	is := is.New(t)
	h := NewHolder(holderA)
	a := h.RequestLeases(moment(0), AccountMask)
	answer := lentAt(4).Lease(moment(10*time.Millisecond), a, namesAll("a"))
	h.Renew(moment(2*time.Second), answer)
	is.Equal(h.Share(moment(2*time.Second), 0), 0.25)
	is.Equal(h.Share(moment(LeaseTerm-GrantLifetime-MaxClockDrift), 0), 0.0) // grants given earlier end with the term
	is.Equal(h.LostLeases(), uint64(1))                                      // of the shard that was looked at
	h.Renew(moment(LeaseTerm), answer)
	is.Equal(h.Share(moment(LeaseTerm), 0), 0.0) // a late answer brings nothing
	other := answer
	other.Holder.Incarnation++
	h.Renew(moment(2*time.Second), other)
	is.Equal(h.Share(moment(LeaseTerm), 0), 0.0) // an answer to an earlier process brings nothing
}

func TestHolderIgnoresAnswersFromBeforeReturn(t *testing.T) {
	is := is.New(t)
	h := NewHolder(holderA)
	l := lentAt(4)
	answer := l.Lease(moment(0), h.RequestLeases(moment(0), AccountMask), namesAll("a"))
	h.Release(moment(0), AccountMask, namesAll("b"))
	h.Renew(moment(0), answer)
	is.Equal(h.Share(moment(0), 0), 0.0)
}

func TestBucketStartsEmptyAndFills(t *testing.T) {
	is := is.New(t)
	h := holding(small)
	grant := func(at time.Duration, sequence uint64, need int) int {
		return h.Grant(moment(at), TokenRequest{From: holderB, Sequence: sequence, Account: small.ID, Needed: need}).Granted
	}
	is.Equal(grant(0, 1, 20), 0)                       // an arriving share brings no tokens
	is.Equal(grant(500*time.Millisecond, 2, 20), 10)   // half a second at 20/s
	is.Equal(grant(1500*time.Millisecond, 3, 100), 20) // the burst is the cap
}

func TestOpenGrantsCountInsideTheCap(t *testing.T) {
	is := is.New(t)
	h := holding(small)
	grant := func(at time.Duration, sequence uint64, reports ...Report) int {
		return h.Grant(moment(at), TokenRequest{From: holderB, Sequence: sequence, Account: small.ID, Needed: 20, Reports: reports}).Granted
	}
	is.Equal(grant(1500*time.Millisecond, 1), 20)
	is.Equal(grant(1600*time.Millisecond, 2, Report{Sequence: 77, Spent: 20}), 0) // a report of another grant
	is.Equal(grant(1800*time.Millisecond, 3), 0)                                  // 20 tokens are still open
	is.Equal(grant(1800*time.Millisecond, 4, Report{Sequence: 1, Spent: 20}), 0)  // spent now, nothing accrued meanwhile
	is.Equal(grant(1900*time.Millisecond, 5), 2)
}

func TestReturnedTokensComeBackOnce(t *testing.T) {
	is := is.New(t)
	h := holding(small)
	grant := func(sequence uint64, reports ...Report) int {
		return h.Grant(moment(1500*time.Millisecond), TokenRequest{From: holderB, Sequence: sequence, Account: small.ID, Needed: 20, Reports: reports}).Granted
	}
	is.Equal(grant(1), 20)
	is.Equal(grant(2, Report{Sequence: 1, Spent: 15, Returned: 5}), 5)
	is.Equal(grant(3, Report{Sequence: 1, Spent: 15, Returned: 5}), 0)  // the same report again
	is.Equal(grant(4, Report{Sequence: 1, Spent: 20, Returned: 20}), 0) // more than was granted
}

// TestFrozenHolderAccruesToTheEndOfLeases compares the bucket of a holder that
// slept through the end of three of its four leases with the exact sum.
func TestFrozenHolderAccruesToTheEndOfLeases(t *testing.T) {
	is := is.New(t)
	h := NewHolder(holderA)
	h.SetAccounts(moment(0), []ferry.Account{small})
	first := h.RequestLeases(moment(0), AccountMask)
	second := h.RequestLeases(moment(2*time.Second), AccountMask)
	for i, a := range []LeaseRequest{first, first, first, second} {
		lender := Process{VM: ferry.VMID(rune('p' + i)), Incarnation: 1}
		answer := LeaseReply{Lessor: lender, Holder: holderA, Sequence: a.Sequence, Mask: AccountMask, Parts: 4}
		h.Renew(moment(2*time.Second), answer)
	}
	h.Grant(moment(2*time.Second), TokenRequest{From: holderB, Sequence: 1, Account: small.ID, Needed: 1})
	end := LeaseTerm - GrantLifetime - MaxClockDrift
	wake := 4 * time.Second
	answer := h.Grant(moment(wake), TokenRequest{From: holderB, Sequence: 2, Account: small.ID, Needed: 20})
	fill := small.Rate * ((end - 2*time.Second).Seconds() + 0.25*(wake-end).Seconds())
	is.Equal(answer.Granted, int(min(fill, 0.25*small.Burst))) // 5 at most
	h = holding(ferry.Account{ID: "slow", Rate: 1, Burst: 20})
	is.Equal(h.Grant(moment(time.Hour), TokenRequest{Account: "slow", Needed: 20}).Status, StatusNoShare)
}

// TestAccrualStopsAtTheEndOfALease is the exact form for a rate at which the
// cap does not hide a longer accrual.
func TestAccrualStopsAtTheEndOfALease(t *testing.T) {
	is := is.New(t)
	slow := ferry.Account{ID: "slow", Rate: 2, Burst: 40}
	h := NewHolder(holderA)
	h.SetAccounts(moment(0), []ferry.Account{slow})
	first := h.RequestLeases(moment(0), AccountMask)
	second := h.RequestLeases(moment(2*time.Second), AccountMask)
	for i, a := range []LeaseRequest{first, second} {
		lender := Process{VM: ferry.VMID(rune('p' + i)), Incarnation: 1}
		h.Renew(moment(2*time.Second), LeaseReply{Lessor: lender, Holder: holderA, Sequence: a.Sequence, Mask: AccountMask, Parts: 2})
	}
	// 0.57 s at 2/s and then 1.93 s at 1/s; 5 if the first lease ran on.
	answer := h.Grant(moment(4500*time.Millisecond), TokenRequest{From: holderB, Sequence: 1, Account: "slow", Needed: 20})
	is.Equal(answer.Granted, 3)
}

func TestPoolTakesAnAnswerOnce(t *testing.T) {
	is := is.New(t)
	p := &pool{account: small.ID, pending: map[uint64]pendingAsk{}}
	sequence := uint64(0)
	next := func() uint64 { sequence++; return sequence }
	_, w, sent := p.admit(moment(0), next)
	is.Equal(sent.Needed, 1)
	answer := TokenReply{Sequence: sent.Sequence, Account: small.ID, Granted: 2}
	p.answer(moment(350*time.Millisecond), answer, next)
	p.answer(moment(350*time.Millisecond), answer, next)
	is.Equal(p.free(moment(350*time.Millisecond)), 1) // two granted, one taken
	result := <-w.result
	is.True(!result.permit.Spend(moment(GrantLifetime - MaxClockDrift))) // the grant lives from the ask
	is.Equal(p.free(moment(GrantLifetime-MaxClockDrift)), 0)
}

func TestPoolRefusesOnlyOnTheHoldersWord(t *testing.T) {
	is := is.New(t)
	p := &pool{account: small.ID, pending: map[uint64]pendingAsk{}}
	sequence := uint64(0)
	next := func() uint64 { sequence++; return sequence }
	_, w, _ := p.admit(moment(0), next)
	p.tick(moment(askTimeout), next) // the ask is lost; another one is sent
	is.Equal(len(w.result), 0)
	p.answer(moment(askTimeout), TokenReply{Sequence: sequence, Account: small.ID, Status: StatusNoShare}, next)
	is.Equal(len(w.result), 0) // no share is not a refusal
	p.tick(moment(askTimeout+tickEvery), next)
	p.answer(moment(askTimeout+tickEvery), TokenReply{Sequence: sequence, Account: small.ID, Status: StatusEmpty, RetryAfter: time.Second}, next)
	is.Equal((<-w.result).refusal.Reason, ferry.ReasonOverAllowance)
	_, w, _ = p.admit(moment(time.Second), next)
	p.tick(moment(time.Second+maxWait), next)
	is.Equal((<-w.result).refusal.Reason, ferry.ReasonAllowanceUnknown)
}

func TestForgottenPoolTakesNoRequest(t *testing.T) {
	is := is.New(t)
	p := &pool{account: small.ID, pending: map[uint64]pendingAsk{}}
	next := func() uint64 { return 1 }
	_, isIdle := p.tick(moment(forgetAfter), next)
	is.True(isIdle)
	taken, w, _ := p.admit(moment(forgetAfter), next)
	is.True(taken == nil && w == nil)
}
