package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"teaselplank/batch"
	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/platform/stand"
)

// A framing is how an upstream shows where its answer ends.
type framing string

const (
	lengthFraming framing = "with a length"
	chunkFraming  framing = "in chunks"
	bareFraming   framing = "ended by its connection"
)

var answerFramings = []framing{lengthFraming, chunkFraming, bareFraming}

// field returns the field of the head that announces the framing of a body, if there is one.
func (f framing) field(body string) []string {
	switch f {
	case lengthFraming:
		return []string{fmt.Sprint("Content-Length: ", len(body))}
	case chunkFraming:
		return []string{"Transfer-Encoding: chunked"}
	}
	return nil
}

// begin returns the first half of a body as it is sent. With chunks, it is a whole chunk.
func (f framing) begin(body string) string {
	half := body[:len(body)/2]
	if f == chunkFraming {
		return fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
	}
	return half
}

// whole returns a whole body as it is sent.
func (f framing) whole(body string) string {
	if f == chunkFraming {
		return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return body
}

// beforeReset is the time after which a reset does not overtake the bytes before it.
const beforeReset = 20 * time.Millisecond

// answerEarly returns a script that reads some of a request, answers with 200 and half of a body, and
// resets the connection while the rest of the request is still written.
func answerEarly(stream bool, f framing, read int) stand.Script {
	return func(a *stand.RawAnswer) {
		a.ReadBody(read)
		body := a.Body(stream)
		a.Write(a.Head("200 OK", append(f.field(body), contentType(stream)...)...) + f.begin(body))
		time.Sleep(beforeReset)
		a.Reset()
	}
}

func contentType(stream bool) []string {
	if stream {
		return []string{"Content-Type: text/event-stream"}
	}
	return nil
}

// setAnswers sets the scripts of workers, as their services need them.
func (d *deployment) setAnswers(script func(stream bool) stand.Script, ids ...string) {
	for _, id := range ids {
		d.workers[id].SetScript(script(d.workers[id].Kind == stand.Engine))
	}
}

// Guards against a part of an answer that looks whole, as its upstream answered a long upload at
// once and reset the connection while the upload was written.
func TestEarlyAnswerResetDuringUpload(t *testing.T) {
	const kib = 1 << 10
	for _, f := range answerFramings {
		for _, size := range []int{2 * kib, 64 * kib, 900 * kib} {
			for _, read := range []int{0, kib, size} {
				t.Run(fmt.Sprint(string(f), ", ", read, " of ", size, " bytes read"), func(t *testing.T) {
					t.Parallel()
					withBody := func(r *http.Request) { stand.SetBody(r, strings.Repeat("x", size)) }
					script := func(stream bool) stand.Script { return answerEarly(stream, f, read) }
					d := deploy(t, 1)
					d.setAnswers(script, "desk-a", "engine-a")
					for i := range 4 {
						prompt := func(r *http.Request) { stand.SetPrefix(r, fmt.Sprint("p", i)) }
						for _, path := range []string{stand.PathSafe, stand.PathStream} {
							wantWhole(t, d.ask(d.nodes[0], path, withBody, prompt), path)
						}
						for _, path := range []string{stand.PathUnsafe, stand.PathOnce} {
							wantWholeOrBroken(t, d.ask(d.nodes[0], path, withBody, prompt), path)
						}
					}
					wantUsed(t, d.workers["desk-a"], d.workers["engine-a"])
					d.setAnswers(script, "desk-b", "engine-b")
					for _, path := range []string{stand.PathSafe, stand.PathUnsafe, stand.PathStream, stand.PathOnce} {
						wantBroken(t, d.ask(d.nodes[0], path, withBody), path)
					}
				})
			}
		}
	}
}

// Guards against results of a stage worker that are taken from a part of its answer.
func TestEarlyAnswerOfStageWorker(t *testing.T) {
	for _, f := range answerFramings {
		for _, read := range []int{0, 1 << 10} {
			t.Run(fmt.Sprint(string(f), ", ", read, " bytes read"), func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 1)
				d.setAnswers(func(bool) stand.Script { return answerEarly(false, f, read) }, "encode-a", "rank-b")
				longKey := func(r *http.Request) { stand.SetPieceKey(r, strings.Repeat("k", 8<<10)) }
				for range 3 {
					wantWhole(t, d.ask(d.nodes[0], stand.PathStream, longKey), stand.PathStream)
				}
				wantUsed(t, d.workers["encode-a"], d.workers["rank-b"])
				if crossed := d.crossedInputs(); crossed > 0 {
					t.Errorf("%d requests or pieces had results of other requests", crossed)
				}
			})
		}
	}
}

const (
	// cutStep is the distance between two places at which a head stops, and headTail how far
	// before its end the first of them is.
	cutStep  = 3
	headTail = 80
)

// stopInHead returns a script that stops some bytes before the end of its head, and closes or resets
// the connection.
func stopInHead(stream bool, f framing, left int, reset bool) stand.Script {
	return func(a *stand.RawAnswer) {
		a.ReadBody(len(stand.DefaultBody))
		head := a.Head("200 OK", append(f.field(a.Body(stream)), contentType(stream)...)...)
		a.Write(head[:len(head)-left])
		if reset {
			time.Sleep(beforeReset)
			a.Reset()
		}
	}
}

// Guards against an answer that looks whole and is empty or short, as its upstream stopped in the
// middle of its head.
func TestAnswerStopsInHead(t *testing.T) {
	for _, f := range answerFramings {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", f, reset), func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 1)
				for left := 1; left <= headTail; left += cutStep {
					script := func(stream bool) stand.Script { return stopInHead(stream, f, left, reset) }
					d.setAnswers(script, "desk-a", "desk-b", "engine-a", "engine-b")
					for _, path := range []string{stand.PathUnsafe, stand.PathOnce} {
						r := d.ask(d.nodes[0], path)
						wantBroken(t, r, path)
						if r.status == http.StatusOK {
							t.Errorf("answer to %s is 200 %q, %d bytes before the end of the head", path, r.body, left)
						}
					}
				}
				wantUsed(t, d.workers["desk-a"], d.workers["engine-a"])
			})
		}
	}
}

// peerProcess returns a process that answers as another node, byte by byte.
func peerProcess(t *testing.T, text string, reset bool) member.Node {
	t.Helper()
	server, err := stand.NewRawServer(func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		if reset {
			time.Sleep(beforeReset)
			stand.ResetConn(conn)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return member.Node{ID: "other", Addr: server.Addr()}
}

// Guards against a message of another node that broke off, in its head or its body, and is taken for a
// whole one.
func TestBrokenMessageOfPeer(t *testing.T) {
	message, err := proto.Marshal(&peerpb.JobReply{Results: []*peerpb.ResultMessage{{Handle: "a/1", Addr: "a"}, {Handle: "a/2", Addr: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	d := deploy(t, 0)
	s := d.newServer(d.settings("node"))
	defer s.close()
	run := func(t *testing.T, text string, reset bool) bool {
		_, ok := s.runRemote(t.Context(), peerProcess(t, text, reset), 1, batch.Job{Ref: batch.Ref{Request: "id"}, Pieces: 2})
		return ok
	}
	for _, f := range answerFramings {
		fields := append([]string{"HTTP/1.1 200 OK", "Content-Type: application/protobuf"}, f.field(string(message))...)
		head := strings.Join(fields, "\r\n") + "\r\n\r\n"
		whole := head + f.whole(string(message))
		t.Run(string(f), func(t *testing.T) {
			if f != bareFraming && !run(t, whole, false) {
				t.Error("whole message is refused; the test shows nothing")
			}
			for left := cutStep; left < len(whole)-len("HTTP/1.1"); left += cutStep {
				for _, reset := range []bool{false, true} {
					if run(t, whole[:len(whole)-left], reset) {
						t.Errorf("message without its last %d bytes is taken for whole, reset %t", left, reset)
					}
				}
			}
		})
	}
}

// Guards against a state of another node that is taken for whole although it broke off between two
// entries: nothing shows where a message without a length or chunks ends.
func TestStateThatEndsWithItsConnection(t *testing.T) {
	state, err := proto.Marshal(&peerpb.StateReply{})
	if err != nil {
		t.Fatal(err)
	}
	node := peerProcess(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"+string(state), false)
	if m, err := newPeers().gossip(node.Addr).State(t.Context(), &peerpb.StateRequest{}); err == nil {
		t.Errorf("message is %v, want an error", m)
	}
}

// Guards against a message of another process with a status below 200 that holds up a call, or that
// is taken for one of a node.
func TestOddStatusOfPeer(t *testing.T) {
	for _, status := range oddStatuses {
		t.Run(status[:3], func(t *testing.T) {
			t.Parallel()
			server, err := stand.NewRawServer(func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(silentConnTime)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), silentConnTime)
			defer cancel()
			started := time.Now()
			if m, err := newPeers().gossip(server.Addr()).Exchange(ctx, &peerpb.DigestMessage{}); err == nil {
				t.Errorf("message is %v, want an error", m)
			}
			if took := time.Since(started); took > promptly {
				t.Errorf("call took %s, want at most %s", took, promptly)
			}
		})
	}
}
