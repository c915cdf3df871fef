package server

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

const (
	// promptly is the time within which a call that may be repeated must be sent again.
	promptly = time.Second
	// silentConnTime is how long an upstream keeps a connection open after such an answer.
	silentConnTime = 3 * time.Second
)

// attemptTimes holds when an upstream got the attempts of a call. The zero value has none.
type attemptTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *attemptTimes) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// firstGap returns the time from the first to the second attempt, or 0 without a second one.
func (a *attemptTimes) firstGap() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.times) < 2 {
		return 0
	}
	return a.times[1].Sub(a.times[0])
}

// Guards against an answer with the status 000 that a caller gets as the result of its call, and
// calls that wait for the end of one with the status 101.
func TestOddStatusTakenForResult(t *testing.T) {
	for _, status := range []string{"000 Odd", "099 Odd", "+20 Odd", "101 Switching Protocols"} {
		for name, open := range map[string]bool{"closed": false, "open": true} {
			t.Run(status[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				var attempts attemptTimes
				upstream, err := stand.NewRawServer(func(conn net.Conn) {
					attempts.add()
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 6\r\n\r\nforged")
					if open {
						time.Sleep(silentConnTime)
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer upstream.Close()
				front := httptest.NewServer(startTestServerAt(t, upstream.Addr()).callerHandler())
				defer front.Close()
				response, err := http.DefaultClient.Do(newStatusCall(t, front.URL))
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode < http.StatusInternalServerError || strings.Contains(string(body), "forged") {
					t.Errorf("answer is %d %q (%v), want an error", response.StatusCode, body, err)
				}
				if gap := attempts.firstGap(); gap == 0 || gap > promptly {
					t.Errorf("the second attempt came after %s, want one within %s", gap, promptly)
				}
			})
		}
	}
}
