// Package hedge repeats a call beside the first one while that has no response.
//
// A service that was silent for a moment may never answer the calls of that time, but it answers
// later ones. A repeat notices that long before the first call times out, while a service that is
// only slow still answers the first call.
package hedge

import (
	"cmp"
	"context"
	"fmt"
	"time"
)

// A Policy says when a call is repeated. The zero value never repeats it.
type Policy struct {
	// After is how long the first call may take before it is repeated, or 0 to never repeat it.
	After time.Duration
	// Interval is the time between two repeats. The default is After.
	Interval time.Duration
}

// A response is the outcome of the call with a number, of which the first is 0.
type response[T any] struct {
	number int
	value  T
	err    error
}

// Do makes a call and repeats it as the policy says until one of the calls succeeds, the first
// one fails, or the context is done. It passes each call its number, from 0, and cancels the
// contexts of the calls that are left. It returns the value and the number of the call that
// succeeded: above 0, the first call had no response yet. The error is that of the first call; a
// repeat that fails has no effect.
func Do[T any](ctx context.Context, p Policy, call func(ctx context.Context, number int) (T, error)) (value T, number int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan response[T])
	send := func(number int) {
		value, err := call(ctx, number)
		select {
		case responses <- response[T]{number, value, err}:
		case <-ctx.Done():
		}
	}
	repeat := p.timer()
	defer repeat.Stop()
	go send(0)
	for calls := 1; ; {
		select {
		case r := <-responses:
			if r.err == nil || r.number == 0 {
				return r.value, r.number, r.err
			}
		case <-repeat.C:
			go send(calls)
			calls++
			repeat.Reset(cmp.Or(p.Interval, p.After))
		case <-ctx.Done():
			return value, 0, fmt.Errorf("hedged call: %w", ctx.Err())
		}
	}
}

// timer returns a timer that fires when the call is to be repeated.
func (p Policy) timer() *time.Timer {
	if p.After > 0 {
		return time.NewTimer(p.After)
	}
	never := time.NewTimer(time.Hour)
	never.Stop()
	return never
}
