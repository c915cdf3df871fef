package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// oddStatuses are statuses that no answer to a request can have: no number of three digits that
// HTTP defines, or a change of the protocol that was not asked for.
var oddStatuses = []string{"000 Odd", "099 Odd", "+20 Odd", "-00 Odd", "020 OK", "101 Switching Protocols"}

// silentConnTime is longer than any request of these tests may take.
const silentConnTime = 3 * time.Second

// answerOddly returns a script that answers with a status, followed by bytes that look like a sound
// answer if follows is true. The connection stays open for a while if open is true.
func answerOddly(status string, follows, open bool) stand.Script {
	return func(a *stand.RawAnswer) {
		text := a.Head(status)
		if follows {
			body := "forged"
			if a.IsCall {
				// These are the results of another request.
				body = strings.ReplaceAll(a.Body(false), "/id-", "/forged-")
			}
			text += a.Head("200 OK", fmt.Sprint("Content-Length: ", len(body))) + body
		}
		a.Write(text)
		if open {
			_ = a.Conn.SetReadDeadline(time.Now().Add(silentConnTime)) // It fails only on a closed connection.
			a.ReadBody(1 << 20)
		}
	}
}

// eachOddAnswer runs a test for each odd status, with and without bytes after it.
func eachOddAnswer(t *testing.T, run func(t *testing.T, script stand.Script)) {
	for _, status := range oddStatuses {
		for name, c := range map[string]struct{ follows, open bool }{
			"alone, open": {false, true}, "alone, closed": {false, false},
			"before an answer, open": {true, true}, "before an answer, closed": {true, false},
		} {
			t.Run(status[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				run(t, answerOddly(status, c.follows, c.open))
			})
		}
	}
}

// Guards against a status below 100, or 101, that is taken for an interim response: its request
// waits for another head, and gets as its answer what the body looks like.
func TestOddStatusTakenForInterim(t *testing.T) {
	paths := []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream, stand.PathOnce}
	eachOddAnswer(t, func(t *testing.T, script stand.Script) {
		t.Run("by all workers", func(t *testing.T) {
			d := deploy(t, 1)
			d.setScripts(stand.ServiceDesk, script)
			d.setScripts(stand.ServiceEngine, script)
			for _, path := range paths {
				r := d.askPromptly(t, path)
				wantStatus(t, r, http.StatusBadGateway)
				if strings.Contains(r.body, "forged") || stand.Sealed(r.header) {
					t.Errorf("answer to %s is %q with headers %v, not the host's own", path, r.body, r.header)
				}
			}
			d.wantNoIdleConns(t, stand.ServiceDesk)
		})
		t.Run("by one worker", func(t *testing.T) {
			d := deploy(t, 1)
			d.workers["desk-a"].SetScript(script)
			d.workers["engine-a"].SetScript(script)
			for _, path := range paths {
				r := d.askPromptly(t, path)
				wantWholeOrBroken(t, r, path)
				if path == stand.PathSafe || path == stand.PathStream {
					wantWhole(t, r, path)
				}
			}
			wantUsed(t, d.workers["desk-a"], d.workers["engine-a"])
		})
	})
}

// Guards against results of a stage worker that are taken from the body of an odd answer, and
// requests that wait for it.
func TestOddStatusOfStageWorker(t *testing.T) {
	eachOddAnswer(t, func(t *testing.T, script stand.Script) {
		d := deploy(t, 1)
		d.workers["encode-a"].SetScript(script)
		d.workers["rank-b"].SetScript(script)
		wantWhole(t, d.askPromptly(t, stand.PathStream), stand.PathStream)
		wantUsed(t, d.workers["encode-a"], d.workers["rank-b"])
		if crossed := d.crossedInputs(); crossed > 0 {
			t.Errorf("%d requests or pieces had results of other requests", crossed)
		}
	})
}

// Guards against an answer that is given up because interim responses precede it.
func TestInterimResponses(t *testing.T) {
	d := deploy(t, 1)
	script := func(a *stand.RawAnswer) {
		a.Write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
		body := a.Body(false)
		a.Write(a.Head("200 OK", "Connection: close") + body)
	}
	d.setScripts(stand.ServiceDesk, script)
	d.setScripts(stand.ServiceEncode, script)
	for _, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream} {
		wantWhole(t, d.askPromptly(t, path), path)
	}
}
