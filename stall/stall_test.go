package stall

import (
	"testing"
	"testing/synctest"
	"time"
)

const limit = time.Second

// start returns a timer that has started and the number of its calls so far.
func start() (timer *Timer, calls func() int) {
	timer = &Timer{}
	called := make(chan struct{}, 8)
	timer.Start(limit, func() { called <- struct{}{} })
	return timer, func() int {
		synctest.Wait()
		return len(called)
	}
}

func TestTimer(t *testing.T) {
	t.Run("silence", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			timer, calls := start()
			defer timer.Stop()
			time.Sleep(limit)
			if n := calls(); n != 1 || !timer.Expired() {
				t.Errorf("%d calls after the limit, want 1 and the timer expired", n)
			}
			time.Sleep(limit)
			if n := calls(); n != 2 || !timer.Expired() {
				t.Errorf("%d calls after twice the limit, want 2 and the timer expired", n)
			}
			if length, reported := timer.End(); length != 2*limit || !reported {
				t.Errorf("silence is %s (reported: %v), want %s, reported", length, reported, 2*limit)
			}
		})
	})
	t.Run("something in time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			timer, calls := start()
			defer timer.Stop()
			time.Sleep(limit - 1)
			if length, reported := timer.End(); length != limit-1 || reported {
				t.Errorf("silence is %s (reported: %v), want %s, not reported", length, reported, limit-1)
			}
			time.Sleep(limit - 1)
			if n := calls(); n != 0 || timer.Expired() {
				t.Errorf("%d calls, want none and the timer not expired", n)
			}
		})
	})
	t.Run("no limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			timer, calls := start()
			timer.Restart(0)
			time.Sleep(2 * untilArmed)
			if n := calls(); n != 0 || timer.Expired() {
				t.Errorf("%d calls, want none and the timer not expired", n)
			}
		})
	})
	t.Run("stopped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			timer, calls := start()
			timer.Stop()
			time.Sleep(2 * limit)
			if n := calls(); n != 0 {
				t.Errorf("%d calls, want none", n)
			}
		})
	})
}
