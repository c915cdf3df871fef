package hedge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var errRefused = errors.New("refused")

// A service answers calls in the order in which they come.
type service struct {
	calls atomic.Int64
	// answers has what becomes of each call; the last one counts for all later ones.
	answers []answer
	// cancelled counts the calls whose contexts ended before their answers.
	cancelled atomic.Int64
}

// An answer comes after a time, or never.
type answer struct {
	after time.Duration
	never bool
	err   error
}

func (s *service) call(ctx context.Context, number int) (int, error) {
	s.calls.Add(1)
	a := s.answers[min(number, len(s.answers)-1)]
	timer := time.After(a.after)
	if a.never {
		timer = nil
	}
	select {
	case <-timer:
		return number, a.err
	case <-ctx.Done():
		s.cancelled.Add(1)
		return 0, ctx.Err()
	}
}

// want is the expected outcome of a hedged call.
type want struct {
	number int
	err    error
	took   time.Duration
	calls  int64
}

func wantOutcome(t *testing.T, s *service, ctx context.Context, p Policy, w want) {
	t.Helper()
	started := time.Now()
	value, number, err := Do(ctx, p, s.call)
	if number != w.number || !errors.Is(err, w.err) {
		t.Errorf("call %d is answered with error %v, want %d and %v", number, err, w.number, w.err)
	}
	if err == nil && value != number {
		t.Errorf("value is %d, want that of call %d", value, number)
	}
	if took := time.Since(started); took != w.took {
		t.Errorf("answer took %s, want %s", took, w.took)
	}
	synctest.Wait()
	if got := s.calls.Load(); got != w.calls {
		t.Errorf("%d calls were made, want %d", got, w.calls)
	}
}

func TestDo(t *testing.T) {
	const second = time.Second
	p := Policy{After: second, Interval: second / 2}
	for _, c := range []struct {
		name    string
		policy  Policy
		answers []answer
		want    want
	}{
		{"first call is answered", p, []answer{{after: second / 2}}, want{took: second / 2, calls: 1}},
		{"first call is slow", p, []answer{{after: 7 * second / 4}, {after: 2 * second}}, want{took: 7 * second / 4, calls: 3}},
		{"first call is never answered", p, []answer{{never: true}, {}}, want{number: 1, took: second, calls: 2}},
		{"service is silent for a while", p, []answer{{never: true}, {never: true}, {never: true}, {}}, want{number: 3, took: 2 * second, calls: 4}},
		{"interval by default", Policy{After: second}, []answer{{never: true}, {never: true}, {}}, want{number: 2, took: 2 * second, calls: 3}},
		{"zero policy", Policy{}, []answer{{after: 24 * time.Hour}}, want{took: 24 * time.Hour, calls: 1}},
		{"first call fails", p, []answer{{err: errRefused}}, want{err: errRefused, calls: 1}},
		{"repeats fail", p, []answer{{after: 7 * second / 4}, {err: errRefused}}, want{took: 7 * second / 4, calls: 3}},
		{"first call fails beside repeats", p, []answer{{after: 7 * second / 4, err: errRefused}, {never: true}}, want{err: errRefused, took: 7 * second / 4, calls: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wantOutcome(t, &service{answers: c.answers}, t.Context(), c.policy, c.want)
			})
		})
	}
}

func TestCancelled(t *testing.T) {
	t.Run("by the caller", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &service{answers: []answer{{never: true}}}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			wantOutcome(t, s, ctx, Policy{After: 2 * time.Second}, want{err: context.DeadlineExceeded, took: 3 * time.Second, calls: 2})
			wantCancelled(t, s, 2)
		})
	})
	t.Run("calls that are left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &service{answers: []answer{{never: true}, {}}}
			wantOutcome(t, s, t.Context(), Policy{After: time.Second}, want{number: 1, took: time.Second, calls: 2})
			wantCancelled(t, s, 1)
		})
	})
}

func wantCancelled(t *testing.T, s *service, calls int64) {
	t.Helper()
	synctest.Wait()
	if got := s.cancelled.Load(); got != calls {
		t.Errorf("%d calls were cancelled, want %d", got, calls)
	}
}
