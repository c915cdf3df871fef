package listen

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselplank/memory"
)

// listenWith returns a bounded listener without a server.
func listenWith(t *testing.T, b Bounds) *served {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{account: new(memory.Account), refused: make(map[Refusal]int)}
	b.Account = s.account
	b.Count = func(r Refusal) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused[r]++
	}
	s.listener = NewBounded(raw, b)
	return s
}

// A served is a server on a bounded listener that answers with the bodies of its requests.
type served struct {
	listener *Listener
	account  *memory.Account
	mu       sync.Mutex
	refused  map[Refusal]int
}

func serve(t *testing.T, b Bounds) *served {
	t.Helper()
	s := listenWith(t, b)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !ConnOf(r).EndBody() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(r.Header), body)
	})}
	s.start(t, server)
	return s
}

// start lets a server serve the listener.
func (s *served) start(t *testing.T, server *http.Server) {
	t.Helper()
	s.listener.Attach(server)
	go func() { _ = server.Serve(s.listener) }() // Serve returns when the server is closed.
	t.Cleanup(func() { server.Close() })
}

func (s *served) count(r Refusal) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[r]
}

func (s *served) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{c, bufio.NewReader(c)}
}

type client struct {
	net.Conn
	answers *bufio.Reader
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Error(err)
	}
}

// wantAnswer reads an answer.
func (c *client) wantAnswer(t *testing.T, status int, want string) {
	t.Helper()
	answer, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		t.Errorf("read answer: %v", err)
		return
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != status || want != "" && string(body) != want {
		t.Errorf("answer is %d %q (%v), want %d %q", answer.StatusCode, body, err, status, want)
	}
}

func awaitThat(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("timed out waiting until %s", what)
}

// Requests of all framings that follow each other on a connection must each be served, however
// their bytes arrive.
func TestRequestsInPieces(t *testing.T) {
	fields := strings.Repeat("abc: d\r\n", 3) + strings.Repeat("x", 9000) + ": y\r\n"
	requests := []struct{ text, want string }{
		{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "/a 0 "},
		{"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde", "/b 1 abcde"},
		{"\r\nPOST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=f\r\nde\r\n0\r\nT: u\r\n\r\n", "/c 0 abcde"},
		{"POST /d HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: 9000\r\n\r\n" + strings.Repeat("z", 9000), "/d 3 " + strings.Repeat("z", 9000)},
		{"GET /e HTTP/1.1\r\nHost: h\r\n\r\n", "/e 0 "},
	}
	var all bytes.Buffer
	for _, r := range requests {
		all.WriteString(r.text)
	}
	s := serve(t, Bounds{HeadBytes: 16 << 10, HeadTime: 5 * time.Second})
	for _, piece := range []int{1 << 20, 4096, 700, 61} {
		t.Run(fmt.Sprint(piece), func(t *testing.T) {
			c := s.dial(t)
			go func() {
				for text := all.Bytes(); len(text) > 0; text = text[min(piece, len(text)):] {
					if _, err := c.Write(text[:min(piece, len(text))]); err != nil {
						return
					}
				}
			}()
			for _, r := range requests {
				c.wantAnswer(t, http.StatusOK, r.want)
			}
			awaitThat(t, "only the connection is charged", func() bool { return s.account.Total() == ConnCost })
			c.Close()
			awaitThat(t, "nothing is charged", func() bool { return s.account.Total() == 0 })
		})
	}
}

// The heads of pipelined requests must not be read beside the request in progress.
func TestPipelinedHeadsAreCountedOnce(t *testing.T) {
	s := serve(t, Bounds{})
	c := s.dial(t)
	c.send(t, "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	awaitThat(t, "the head was read", func() bool { return s.account.Used(memory.Heads) > headCost })
	before := s.account.Used(memory.Heads)
	c.send(t, "x"+strings.Repeat("GET /next HTTP/1.1\r\nHost: h\r\n\r\n", 1))
	c.wantAnswer(t, http.StatusOK, "/first 1 x")
	c.wantAnswer(t, http.StatusOK, "/next 0 ")
	if used := s.account.Used(memory.Heads); used > before+minBuffer {
		t.Errorf("heads hold %d bytes after the answers, want at most %d", used, before+minBuffer)
	}
}

// A head that arrives together with the request before it must be charged like any other.
func TestPipelinedHeadIsCharged(t *testing.T) {
	s := serve(t, Bounds{})
	s.account.SetLimit(64 << 10)
	c := s.dial(t)
	c.send(t, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 400)+"\r\n")
	c.wantAnswer(t, http.StatusOK, "/first 0 ")
	c.wantAnswer(t, http.StatusServiceUnavailable, "")
}

// A request that is closed for lack of room just before its end must not be run, as its answer
// may be lost.
func TestEvictedBeforeItsEnd(t *testing.T) {
	s := serve(t, Bounds{})
	c := s.dial(t)
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	awaitThat(t, "the head was read", func() bool { return s.account.Used(memory.Heads) > headCost })
	s.listener.mu.Lock()
	for conn := range s.listener.open {
		conn.evict()
		if conn.EndBody() {
			t.Error("a request that was closed for lack of room may run")
		}
	}
	s.listener.mu.Unlock()
	c.wantAnswer(t, http.StatusServiceUnavailable, "")
}

// A head that is too long, or for which there is no room, must be refused with an answer and
// not reach the handler.
func TestHeadsRefused(t *testing.T) {
	t.Run("too long", func(t *testing.T) {
		s := serve(t, Bounds{HeadBytes: 1 << 10})
		c := s.dial(t)
		c.send(t, "GET / HTTP/1.1\r\nA: "+strings.Repeat("x", headMargin+1<<10))
		c.wantAnswer(t, http.StatusRequestHeaderFieldsTooLarge, "")
		if s.count(LongHead) != 1 {
			t.Error("the refusal is not counted")
		}
	})
	t.Run("too many fields", func(t *testing.T) {
		s := serve(t, Bounds{Fields: 3})
		c := s.dial(t)
		c.send(t, "GET / HTTP/1.1\r\nHost: h\r\na:\r\nb:\r\nc:\r\n\r\n")
		c.wantAnswer(t, http.StatusRequestHeaderFieldsTooLarge, "")
	})
	t.Run("no room", func(t *testing.T) {
		s := serve(t, Bounds{})
		s.account.SetLimit(4 << 20)
		c := s.dial(t)
		c.send(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("ab:\r\n", 6000)+"\r\n")
		c.wantAnswer(t, http.StatusServiceUnavailable, "")
		if s.count(RefusedHead) != 1 {
			t.Error("the refusal is not counted")
		}
		again := s.dial(t)
		again.send(t, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
		again.wantAnswer(t, http.StatusOK, "/small 0 ")
	})
	t.Run("too slow", func(t *testing.T) {
		s := serve(t, Bounds{HeadTime: 50 * time.Millisecond})
		c := s.dial(t)
		c.send(t, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
		c.wantAnswer(t, http.StatusOK, "/first 0 ")
		time.Sleep(100 * time.Millisecond)
		c.send(t, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
		c.wantAnswer(t, http.StatusOK, "/second 0 ")
		c.send(t, "GET /third HTTP/1.1\r\n")
		if _, err := c.answers.ReadByte(); err != io.EOF {
			t.Errorf("error is %v, want the connection closed", err)
		}
	})
}

// A body that stops must be refused once another request needs its room.
func TestStoppedBodyGivesWay(t *testing.T) {
	s := serve(t, Bounds{})
	const large = 3500
	head := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("ab:\r\n", large) + "Content-Length: 2\r\n\r\nx"
	}
	s.account.SetLimit(4 << 20)
	stopped := s.dial(t)
	stopped.send(t, head("/stopped"))
	awaitThat(t, "the head was read", func() bool { return s.account.Used(memory.Heads) > headCost })
	time.Sleep(1100 * time.Millisecond)
	other := s.dial(t)
	other.send(t, head("/other")+"y")
	other.wantAnswer(t, http.StatusOK, "/other 2 xy")
	stopped.wantAnswer(t, http.StatusServiceUnavailable, "")
	if s.count(Evicted) != 1 {
		t.Errorf("%d connections were closed for room, want 1", s.count(Evicted))
	}
}

// A request that is in progress must not be closed for another one, nor a connection that its
// client may reuse; silent connections give way.
func TestPlaces(t *testing.T) {
	const conns = 4
	s := serve(t, Bounds{Conns: conns, IdleTime: time.Minute, SilentTime: 100 * time.Millisecond})
	kept := s.dial(t)
	kept.send(t, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	kept.wantAnswer(t, http.StatusOK, "/a 0 ")
	for range conns - 1 {
		s.dial(t)
	}
	awaitThat(t, "all places are taken", func() bool { return s.listener.Len() == conns })
	refused := s.dial(t)
	if _, err := refused.answers.ReadByte(); err == nil {
		t.Error("a connection beyond the places is open")
	}
	time.Sleep(150 * time.Millisecond)
	newest := s.dial(t)
	newest.send(t, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	newest.wantAnswer(t, http.StatusOK, "/b 0 ")
	kept.send(t, "GET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	kept.wantAnswer(t, http.StatusOK, "/c 0 ")
	if s.count(Replaced) == 0 || s.count(RefusedConnection) == 0 {
		t.Errorf("%d connections were replaced and %d refused, want both above 0", s.count(Replaced), s.count(RefusedConnection))
	}
}

// Guards against counters that lag behind what clients see: a new connection was served before the
// one that had given its place to it was counted.
func TestReplacedIsCountedAtOnce(t *testing.T) {
	for range 20 {
		s := serve(t, Bounds{Conns: 1, SilentTime: time.Nanosecond})
		s.dial(t)
		awaitThat(t, "the place is taken", func() bool { return s.listener.Len() == 1 })
		if !s.listener.makePlace(time.Now()) {
			t.Fatal("there is no place")
		}
		if got := s.count(Replaced); got != 1 {
			t.Fatalf("%d connections were counted as replaced, want 1", got)
		}
	}
}

// net/http goes on after a temporary error of accept only if the error is not wrapped; it ended
// the server when descriptors ran out.
func TestTemporaryAcceptError(t *testing.T) {
	l := New(failingListener{})
	_, err := l.Accept()
	var temporary net.Error
	if !errors.As(err, &temporary) || err != error(temporary) {
		t.Errorf("error is %T, want a net.Error", err)
	}
}

type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) {
	return nil, &net.OpError{Op: "accept", Err: errors.New("too many open files")}
}

// A client that does not read its response must be closed once another one needs the room, and
// its handler must go on.
func TestStalledReaderGivesWay(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var account memory.Account
	l := NewBounded(raw, Bounds{Account: &account})
	ended := make(chan error, 1)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ConnOf(r).HoldResponse(3<<20, true)
		var err error
		for err == nil {
			_, err = w.Write(make([]byte, 64<<10))
		}
		ended <- err
	})}
	l.Attach(server)
	go func() { _ = server.Serve(l) }() // Serve returns when the server is closed.
	t.Cleanup(func() { server.Close() })
	c, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitThat(t, "the response is held", func() bool { return account.Used(memory.Responses) > 0 })
	account.SetLimit(4 << 20)
	other := account.Open("other", time.Now(), func() {})
	awaitThat(t, "the stalled reader is named", func() bool {
		v := other.Take(memory.Bodies, 1<<20, time.Now())
		closeAll(v.Close)
		return len(v.Close) == 1
	})
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the handler still writes to a client that does not read")
	}
}
