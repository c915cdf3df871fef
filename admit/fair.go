// Package admit shares limited capacity among client accounts. FairQueue is a queue
// that serves accounts in proportion to their weights, and Divide divides a capacity
// among accounts by weight and demand.
package admit

// A FairQueue holds values by account. Pop serves accounts in proportion to their
// weights (stride scheduling), and the values of an account in order of arrival. An
// account gets no credit for the time during which it had no values. The zero value is
// empty and ready to use.
type FairQueue[T any] struct {
	flows map[string]*flow[T]
	// virtualTime is the pass of the flow served last. It never decreases.
	virtualTime float64
	size        int
}

// flow is the queue of one account.
type flow[T any] struct {
	account string
	// pass is the virtual time of the account's next turn.
	pass   float64
	weight float64
	values []T
}

// Push adds a value of an account. A weight below 1 counts as 1.
func (f *FairQueue[T]) Push(account string, weight int, value T) {
	if f.flows == nil {
		f.flows = make(map[string]*flow[T])
	}
	fl := f.flows[account]
	if fl == nil {
		fl = &flow[T]{account: account, pass: f.virtualTime}
		f.flows[account] = fl
	}
	if len(fl.values) == 0 {
		fl.pass = max(fl.pass, f.virtualTime)
	}
	fl.weight = float64(max(weight, 1))
	fl.values = append(fl.values, value)
	f.size++
}

// Len returns the number of values in the queue.
func (f *FairQueue[T]) Len() int { return f.size }

// Depth returns the number of values of an account.
func (f *FairQueue[T]) Depth(account string) int {
	fl := f.flows[account]
	if fl == nil {
		return 0
	}
	return len(fl.values)
}

// Pop removes and returns the next value; ok is false if the queue is empty.
func (f *FairQueue[T]) Pop() (value T, ok bool) {
	var next *flow[T]
	for _, fl := range f.flows {
		if len(fl.values) == 0 {
			continue
		}
		if next == nil || fl.pass < next.pass || fl.pass == next.pass && fl.account < next.account {
			next = fl
		}
	}
	if next == nil {
		return value, false
	}
	value = next.values[0]
	next.values = next.values[1:]
	f.size--
	f.virtualTime = next.pass
	next.pass += 1 / next.weight
	if len(next.values) == 0 {
		f.removeIdle(next)
	}
	return value, true
}

// removeIdle drops the values of last and removes empty flows whose pass is at most
// virtualTime. A flow with a later pass is kept, so that its account cannot get an earlier
// turn by returning before that time.
func (f *FairQueue[T]) removeIdle(last *flow[T]) {
	last.values = nil
	for account, fl := range f.flows {
		if len(fl.values) == 0 && fl.pass <= f.virtualTime {
			delete(f.flows, account)
		}
	}
}
