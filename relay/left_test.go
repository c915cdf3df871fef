package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

// An answerReader reads as much of an answer as a client does before it leaves.
type answerReader func(*http.Response) error

// readHead reads nothing of an answer but its head.
func readHead(*http.Response) error { return nil }

// readEvents returns a reader of as many events as there are.
func readEvents(count int) answerReader {
	return func(r *http.Response) error {
		var read string
		return readEventsInto(&read, r, count)
	}
}

// readEventsInto adds as many events of an answer as there are to what was read.
func readEventsInto(read *string, r *http.Response, count int) error {
	buffer := make([]byte, 1)
	for strings.Count(*read, "\n\n") < count {
		n, err := r.Body.Read(buffer)
		*read += string(buffer[:n])
		if err != nil {
			return err
		}
	}
	return nil
}

// leave sends a request to a node, reads a part of the answer and closes the connection.
func (d *deployment) leave(n *testNode, id, path string, read answerReader, change ...func(*http.Request)) result {
	r, err := stand.NewRequest(n.addr, path, id)
	if err != nil {
		d.t.Error(err)
		return result{}
	}
	for _, c := range change {
		c(r)
	}
	ctx, cancel := context.WithCancel(d.t.Context())
	defer cancel()
	answer, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return result{id: id, err: err}
	}
	defer answer.Body.Close()
	return result{id: id, status: answer.StatusCode, header: answer.Header, err: read(answer)}
}

// withPrompt sets the parts of a prompt: those that are given and one of the request's own.
func withPrompt(id string, parts ...string) func(*http.Request) {
	return func(r *http.Request) { stand.SetPrompt(r, append(parts, "own-"+id)...) }
}

// deployWithLongStreams starts engines that write long streams, and nodes. It lets change set
// what crashes the engines.
func deployWithLongStreams(t *testing.T, change func(*stand.Worker)) *deployment {
	t.Helper()
	d := deploy(t, 3, func(w *stand.Worker) {
		if w.Kind == stand.Engine {
			w.Events, w.Delay = 100, 20*time.Millisecond
			change(w)
		}
	})
	for i := range 3 {
		for _, zone := range []string{"a", "b"} {
			d.addEngine(fmt.Sprint("engine-", zone, i), zone)
		}
	}
	return d
}

// A crashingPrompt is a prompt of requests that crash engines, and what these record of it.
type crashingPrompt struct {
	record *stand.CrashRecord
	// parts are those between the first part and the last, which is own or, if that is empty,
	// another one in each request.
	parts []string
	own   string
	// enough is the number of crashes that suffice to know it.
	enough int
}

func (p crashingPrompt) set(id string) func(*http.Request) {
	return withPrompt(cmp.Or(p.own, id), append([]string{"first"}, p.parts...)...)
}

// crashingParts returns prompts with parts that crash engines.
func crashingParts(parts ...*stand.CrashPart) []crashingPrompt {
	var prompts []crashingPrompt
	for _, part := range parts {
		prompts = append(prompts, crashingPrompt{record: &part.CrashRecord, parts: []string{part.ID}, enough: crashesToLearn})
	}
	return prompts
}

// wantSoundServed sends requests that crash engines by their prompts, in turn, beside sound ones
// with the same path, account, body and first part, whose clients read a part of the answer and
// leave. It checks that the sound ones are served and the others are kept from engines.
func (d *deployment) wantSoundServed(read answerReader, prompts ...crashingPrompt) {
	const (
		length           = 5 * time.Second
		crashingInterval = 150 * time.Millisecond
		interval         = 40 * time.Millisecond
		// lastPart is the time at the end in which sound requests must be served.
		lastPart = 2 * time.Second
	)
	started := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		for i := range int(length / crashingInterval) {
			id, prompt := fmt.Sprint("crashing-", i), prompts[i%len(prompts)]
			group.Go(func() { d.askAs(d.nodes[i%3], id, stand.PathStream, prompt.set(id)) })
			time.Sleep(crashingInterval)
		}
	})
	var last tally
	for i := range int(length / interval) {
		n, sentAt, id := d.nodes[i%3], time.Since(started), fmt.Sprint("sound-", i)
		group.Go(func() {
			r := d.leave(n, id, stand.PathStream, read, withPrompt(id, "first", fmt.Sprint("good-", i%20)))
			if sentAt > length-lastPart {
				last.add(r)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	for _, p := range prompts {
		wantLearned(d.t, "a request with the prompt", p.record, p.enough)
	}
	last.wantServed(d.t, 0.9)
}

// Sound requests must be served beside those that crash engines by one part, with the same
// path, account and body, although their clients leave once the response has begun.
func TestSoundRequestHeldBackAfterClientsLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		head stand.CrashHead
		read answerReader
	}{
		{"crash before the head, clients leave after the head", stand.NoHead, readHead},
		{"crash before the head, clients leave after an event", stand.NoHead, readEvents(1)},
		{"crash before the head, clients leave after three events", stand.NoHead, readEvents(3)},
		{"crash after the head, clients leave after an event", stand.Head, readEvents(1)},
		{"crash before the head and after it in turn, clients leave after an event", stand.HeadInTurn, readEvents(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			part := &stand.CrashPart{ID: "bad", RestartAfter: 500 * time.Millisecond, Head: c.head}
			d := deployWithLongStreams(t, func(w *stand.Worker) { w.CrashParts = []*stand.CrashPart{part} })
			d.wantSoundServed(c.read, crashingParts(part)...)
		})
	}
}

// Two parts that crash engines must not make what their requests share with sound ones
// suspect, although the clients of the sound ones leave.
func TestSharedPartHeldBackAfterClientsLeft(t *testing.T) {
	for name, head := range map[string]stand.CrashHead{"crashes before the head": stand.NoHead, "crashes after the head": stand.Head} {
		t.Run(name, func(t *testing.T) {
			var parts []*stand.CrashPart
			for _, id := range []string{"bad", "worse"} {
				parts = append(parts, &stand.CrashPart{ID: id, RestartAfter: 500 * time.Millisecond, Head: head})
			}
			d := deployWithLongStreams(t, func(w *stand.Worker) { w.CrashParts = parts })
			d.wantSoundServed(readEvents(1), crashingParts(parts...)...)
		})
	}
}

// A request that crashes engines, and comes again with the same prompt, must not make requests
// suspect that have another last part.
func TestSoundRequestHeldBackForLastPart(t *testing.T) {
	const own = "again"
	q := &stand.CrashRequest{Path: stand.PathStream, Body: stand.DefaultBody, OwnPart: "own-" + own, RestartAfter: 500 * time.Millisecond}
	d := deployWithLongStreams(t, func(w *stand.Worker) { w.CrashRequests = []*stand.CrashRequest{q} })
	d.wantSoundServed(readEvents(1), crashingPrompt{record: &q.CrashRecord, own: own, enough: crashesOfRequest})
}
