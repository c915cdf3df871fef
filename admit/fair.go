// Package admit shares what is scarce among client accounts: Fair is a queue in
// which each account gets its weight's share of the turns, and Shares divides a
// capacity among accounts and nodes by what they ask for.
package admit

// A Fair queue holds values by account. Pop serves accounts in proportion to
// their weights, and each account's values in order of arrival. An account that
// was idle gets no credit for it. The zero value is empty and ready to use.
type Fair[T any] struct {
	flows map[string]*flow[T]
	// clock is the pass of the flow served last; it never goes back.
	clock float64
	size  int
}

type flow[T any] struct {
	account string
	// pass is the virtual time at which the account's next turn is due.
	pass   float64
	weight float64
	values []T
}

// Push adds a value of an account with the given weight, at least 1.
func (f *Fair[T]) Push(account string, weight int, value T) {
	if f.flows == nil {
		f.flows = make(map[string]*flow[T])
	}
	w := f.flows[account]
	if w == nil {
		w = &flow[T]{account: account, pass: f.clock}
		f.flows[account] = w
	}
	if len(w.values) == 0 {
		w.pass = max(w.pass, f.clock)
	}
	w.weight = float64(max(weight, 1))
	w.values = append(w.values, value)
	f.size++
}

// Len returns the number of values in the queue.
func (f *Fair[T]) Len() int { return f.size }

// Depth returns the number of values of an account.
func (f *Fair[T]) Depth(account string) int {
	w := f.flows[account]
	if w == nil {
		return 0
	}
	return len(w.values)
}

// Pop removes and returns the value whose account's turn it is.
func (f *Fair[T]) Pop() (value T, ok bool) {
	var next *flow[T]
	for _, w := range f.flows {
		if len(w.values) == 0 {
			continue
		}
		if next == nil || w.pass < next.pass || w.pass == next.pass && w.account < next.account {
			next = w
		}
	}
	if next == nil {
		return value, false
	}
	value = next.values[0]
	next.values = next.values[1:]
	f.size--
	f.clock = next.pass
	next.pass += 1 / next.weight
	if len(next.values) == 0 {
		f.forget(next)
	}
	return value, true
}

// forget drops an empty flow once the clock has passed its last turn; until
// then its pass keeps it from jumping the queue.
func (f *Fair[T]) forget(last *flow[T]) {
	last.values = nil
	for account, w := range f.flows {
		if len(w.values) == 0 && w.pass <= f.clock {
			delete(f.flows, account)
		}
	}
}
