package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

// streamClients returns the number of clients that resume streams in the runs of a kind.
func (k PlanKind) streamClients() int {
	if k != Releases {
		return 0
	}
	return 24
}

const (
	// streamPatience is the time within which a client wants a whole stream. A client makes
	// up to maxStreamTries tries to begin a stream, and to resume it each time it breaks off.
	streamPatience = 10 * time.Second
	maxStreamTries = 6
	// defaultRetryAfter is the pause after a refusal that names none.
	defaultRetryAfter = 300 * time.Millisecond
	// streamPause is the pause of a client between two streams.
	streamPause = 100 * time.Millisecond
)

// A stream is a resumable stream as its client receives it, from one attempt or several.
type stream struct {
	id string
	// firstID is the ID of the request whose response had the first event.
	firstID  string
	deadline time.Time
	// beganAt is when the first event arrived, or the zero time.
	beganAt time.Time
	version string
	// events is the number of events so far, all of which were in order.
	events int
	// attempts is the number of requests that were sent.
	attempts int
	complete bool
	// problem says which guarantee was not kept, or is empty.
	problem string
}

// broken reports whether a stream broke off and can be resumed.
func (s *stream) broken(count int) bool {
	return s.events > 0 && s.events < count && !s.complete && s.problem == ""
}

// A streamTry is one request for a stream.
type streamTry struct {
	host   *host
	sentAt time.Time
	// endedAt is when the first event arrived, or the time of the end if none did.
	endedAt time.Time
	// status is 0 if there was no response, as from a host that is down.
	status     int
	reason     string
	began      bool
	retryAfter time.Duration
}

// String describes the try for messages.
func (t streamTry) String() string {
	return fmt.Sprintf("%s %s %d %s", t.sentAt.Format(clockFormat), t.host.name, t.status, t.reason)
}

// A streamSearch is a series of tries to begin or resume a stream.
type streamSearch struct {
	stream *stream
	// version and events are those of the stream before. The version is empty for a new one.
	version string
	events  int
	from    time.Time
	to      time.Time
	tries   []streamTry
	served  bool
}

// A streamPool holds the streams of all clients. Its zero value is empty.
type streamPool struct {
	mu      sync.Mutex
	streams []*stream
	// resumed are the searches for streams that broke off, and begun those for new streams
	// that were begun at the same moments.
	resumed, begun []*streamSearch
}

func (p *streamPool) newStream() *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &stream{id: fmt.Sprint("stream-", len(p.streams)), deadline: time.Now().Add(streamPatience)}
	p.streams = append(p.streams, s)
	return s
}

// record adds the searches for a stream that broke off and for a new one.
func (p *streamPool) record(resumed, begun *streamSearch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed, p.begun = append(p.resumed, resumed), append(p.begun, begun)
}

// A streamClient begins and resumes streams at hosts that are ready.
type streamClient struct {
	deployment *deployment
	transport  *http.Transport
	random     *rand.Rand
}

// runStreamClient begins one stream after the other, and resumes those that break off, until the
// context is done.
func (d *deployment) runStreamClient(ctx context.Context, seed uint64) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	c := &streamClient{deployment: d, transport: transport, random: rand.New(rand.NewPCG(seed, 2))}
	for ctx.Err() == nil {
		s := d.streams.newStream()
		c.search(s)
		for goesOn := true; goesOn && s.broken(d.streamEvents); {
			goesOn = c.resume(s)
		}
		time.Sleep(streamPause)
	}
}

// resume resumes a stream that broke off, while another client begins a new one, which it does
// not resume. The result is false if the stream did not go on.
func (c *streamClient) resume(s *stream) bool {
	other := &streamClient{deployment: c.deployment, transport: c.transport, random: rand.New(rand.NewPCG(c.random.Uint64(), 3))}
	begun := c.deployment.streams.newStream()
	begun.deadline = s.deadline
	var search sync.WaitGroup
	var begunSearch *streamSearch
	search.Go(func() { begunSearch = other.search(begun) })
	resumed := c.search(s)
	search.Wait()
	c.deployment.streams.record(resumed, begunSearch)
	return resumed.served
}

// search sends requests for a stream until one is served, the tries are used up or the deadline
// is reached. It returns when the response that was served has ended.
func (c *streamClient) search(s *stream) *streamSearch {
	r := &streamSearch{stream: s, version: s.version, events: s.events, from: time.Now()}
	for len(r.tries) < maxStreamTries && time.Now().Before(s.deadline) {
		h := c.deployment.clients.pickHost(c.random)
		if h == nil {
			time.Sleep(readyPollInterval)
			continue
		}
		t := c.try(h, s)
		r.to = t.endedAt
		if t.status == 0 {
			time.Sleep(readyPollInterval)
			continue
		}
		r.tries = append(r.tries, t)
		if t.began {
			r.served = true
			break
		}
		time.Sleep(min(t.retryAfter, time.Until(s.deadline)))
	}
	return r
}

// try sends a request for the rest of a stream and reads its events.
func (c *streamClient) try(h *host, s *stream) (t streamTry) {
	t = streamTry{host: h, sentAt: time.Now()}
	defer func() {
		if !t.began {
			t.endedAt = time.Now()
		}
	}()
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	defer cancel()
	request, err := s.request(h)
	if err != nil {
		t.reason = err.Error()
		return t
	}
	response, err := c.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		t.reason = err.Error()
		return t
	}
	defer response.Body.Close()
	t.status, t.retryAfter = response.StatusCode, retryAfter(response.Header)
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(response.Body) // Only for messages.
		t.reason = strings.TrimSpace(string(reason))
		return t
	}
	err = s.read(response.Body, func() { t.began, t.endedAt = true, time.Now() })
	if err != nil {
		t.reason = err.Error()
		return t
	}
	s.finish(c.deployment.streamEvents)
	return t
}

// request returns the next request for a stream.
func (s *stream) request(h *host) (*http.Request, error) {
	s.attempts++
	id := s.id
	if s.attempts > 1 {
		id = fmt.Sprint(s.id, "-", s.attempts)
	}
	if s.events == 0 {
		s.firstID = id
	}
	request, err := stand.NewRequest(h.clientAddr, stand.PathStream+"x", id)
	if err != nil {
		return nil, fmt.Errorf("request stream %q: %w", s.id, err)
	}
	stand.SetPrefix(request, s.id)
	stand.SetDeadline(request, time.Until(s.deadline))
	if s.events > 0 {
		stand.SetResume(request, s.firstID, strconv.Itoa(s.events-1))
	}
	return request, nil
}

// read reads events until the response ends or breaks off. It calls began at the first one.
func (s *stream) read(body io.Reader, began func()) error {
	reader := bufio.NewReader(body)
	event := ""
	for {
		line, err := reader.ReadString('\n')
		event += line
		switch {
		case err == io.EOF && event == "":
			return nil
		case err == io.EOF:
			s.add(event) // The response ends within an event and looks complete.
			return nil
		case err != nil:
			return fmt.Errorf("read stream %q: %w", s.id, err)
		case line == "\n":
			began()
			began = func() {}
			s.add(event)
			event = ""
		}
	}
}

// add checks and adds an event. All must be of one version, in order, and each come once.
func (s *stream) add(event string) {
	if s.events == 0 {
		s.beganAt, s.version = time.Now(), firstVersion(event)
	}
	if event != eventText(s.events, s.version) && s.problem == "" {
		s.problem = fmt.Sprintf("has the event %q after %d of version %q", event, s.events, s.version)
	}
	s.events++
}

// finish notes that the stream ended as if it were complete.
func (s *stream) finish(count int) {
	s.complete = true
	if s.events != count && s.problem == "" {
		s.problem = fmt.Sprintf("ends as complete with %d of %d events", s.events, count)
	}
}

// retryAfter returns the pause that a refusal asks for.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
