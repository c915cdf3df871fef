package relay

import (
	"sync"
	"time"

	"teaselplank/proxy"
)

// streamIdleTimeout is how long a resumable stream may send no event before the reducer
// decides whether to resume it at another upstream.
const streamIdleTimeout = 1200 * time.Millisecond

// An idleWatch reports to the reducer when a stream sends no event, and interrupts the
// stream if the reducer wants it resumed. A nil idleWatch does nothing.
type idleWatch struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchIdle starts to watch the stream of an answer.
func (x *exchange) watchIdle(a *answer) *idleWatch {
	w := &idleWatch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(streamIdleTimeout, func() {
		effects := x.server.step(proxy.StreamStalled{Number: a.send.Number, Attempt: a.send.Attempt})
		for _, e := range effects {
			if _, ok := e.(proxy.Interrupt); ok {
				a.conn.interrupt()
				return
			}
		}
		w.reset()
	})
	return w
}

// reset restarts the timeout after an event, or after the reducer chose to wait.
func (w *idleWatch) reset() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(streamIdleTimeout)
	}
}

// stop ends the watch.
func (w *idleWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
