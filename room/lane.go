package room

import (
	"cmp"
	"container/heap"

	"monsoonferry.org/ferry"
)

// flow holds the waiting requests of one account in a lane, earliest deadline first.
type flow struct {
	account ferry.AccountID
	weight  float64
	// start and finish are the virtual times of its next and of its last request.
	start, finish float64
	sequence      uint64
	isFresh       bool
	tickets       ticketHeap
	index         int
}

// flowHeap orders flows by the virtual time of their next request. It implements
// heap.Interface.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].start, h[j].start), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(element any) {
	added, _ := element.(*flow)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *flowHeap) Pop() any { return popLast((*[]*flow)(h)) }

// ticketHeap orders requests by their deadline. It implements heap.Interface.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }
func (h ticketHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].request.Deadline, h[j].request.Deadline), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *ticketHeap) Push(element any) {
	added, _ := element.(*Ticket)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *ticketHeap) Pop() any { return popLast((*[]*Ticket)(h)) }

// popLast removes and returns the last element.
func popLast[T any](list *[]*T) *T {
	last := len(*list) - 1
	element := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return element
}

// lane is a queue that is fair between accounts by start-time fair queueing. The zero
// lane is empty.
type lane struct {
	flows  map[ferry.AccountID]*flow
	active flowHeap
	// served lists flows without requests that are kept for their finish time.
	served  []*flow
	virtual float64
	// weights is the sum of the weights of the active flows.
	weights float64
	// fresh is the number of active flows of which none was served since they came.
	fresh    int
	queued   int
	sequence uint64
}

func (l *lane) push(t *Ticket) {
	if l.flows == nil {
		l.flows = map[ferry.AccountID]*flow{}
	}
	f := l.flows[t.request.Account]
	if f == nil {
		f = &flow{account: t.request.Account, finish: l.virtual}
		l.flows[t.request.Account] = f
	}
	l.sequence++
	t.lane, t.flow, t.sequence = l, f, l.sequence
	if len(f.tickets) == 0 {
		f.weight, f.start, f.sequence = t.request.weight(), max(l.virtual, f.finish), l.sequence
		f.isFresh = true
		l.fresh++
		l.weights += f.weight
		heap.Push(&l.active, f)
	}
	heap.Push(&f.tickets, t)
	l.queued++
}

// pop removes the next request. The lane must not be empty.
func (l *lane) pop() *Ticket {
	f := l.active[0]
	t := f.tickets[0]
	l.virtual = f.start
	f.finish = f.start + 1/f.weight
	f.start = f.finish
	l.unfresh(f)
	l.remove(t)
	l.forgetServed()
	return t
}

// remove removes a request without charging its account.
func (l *lane) remove(t *Ticket) {
	f := t.flow
	heap.Remove(&f.tickets, t.index)
	t.lane = nil
	l.queued--
	if len(f.tickets) > 0 {
		heap.Fix(&l.active, f.index)
		return
	}
	heap.Remove(&l.active, f.index)
	l.unfresh(f)
	l.weights -= f.weight
	l.served = append(l.served, f)
	if len(l.active) == 0 {
		l.weights = 0
		l.forgetServed()
	}
}

// unfresh stops counting a flow as fresh.
func (l *lane) unfresh(f *flow) {
	if f.isFresh {
		f.isFresh = false
		l.fresh--
	}
}

// forgetServed forgets flows whose finish time has passed, and all when none waits.
func (l *lane) forgetServed() {
	for len(l.served) > 0 {
		f := l.served[0]
		if len(f.tickets) == 0 && l.flows[f.account] == f {
			if f.finish > l.virtual && l.queued > 0 {
				return
			}
			delete(l.flows, f.account)
		}
		l.served[0] = nil
		l.served = l.served[1:]
	}
}

// ahead estimates the requests of the lane that are served before a further one of an
// account: those of accounts that just came, and of all in proportion to their weights
// until the virtual time of the request.
func (l *lane) ahead(request Request) float64 {
	start := l.virtual
	if f := l.flows[request.Account]; f != nil {
		start = max(start, f.finish)
		if len(f.tickets) > 0 {
			start = f.start + float64(len(f.tickets))/f.weight
		}
	}
	return min(float64(l.queued), float64(l.fresh)+(start-l.virtual)*l.weights)
}
