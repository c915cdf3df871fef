package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/follow"
	"teaselplank/infra"
	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/wire"
)

const (
	// minFollowNodes is the number of nodes from which on a few nodes of each zone read the
	// streams for the others.
	minFollowNodes = nodesAtMinPause + 1
	// readerPause is the pause between two reads of the upstreams by a reader, and
	// readerWait how long such a read waits for changes. Together with the time of a read
	// they are well below the age at which followers turn to another reader.
	readerPause = 500 * time.Millisecond
	readerWait  = 150 * time.Millisecond
	// readerTimeout bounds a reader's read, in addition to its wait, so that a reader that
	// is cut off from the store soon gets the records from others.
	readerTimeout = time.Second
	// retryTimeout is the same after a read that has failed. It is longer, as reads of a slow
	// store would otherwise never succeed.
	retryTimeout = 1500 * time.Millisecond
	// caseWait is the long-poll time for cases of crashes, both of a reader's read of the store
	// and of its reply to a follower.
	caseWait = 5 * time.Second
	// silence is how much longer than asked for a reply of a reader may take.
	silence = 400 * time.Millisecond
	// followPause is the pause after a reply with records, so that changes that come one
	// after the other are fetched together.
	followPause = 100 * time.Millisecond
	// lateMargin is how long after it has become late a reader replies to its followers, so
	// that the age in the reply exceeds the bound.
	lateMargin = 5 * time.Millisecond
	// maxChangesWait bounds how long a reply to a follower is delayed.
	maxChangesWait = 10 * time.Second
)

// errReaderFailing means that a reader's last read of the store has failed.
var errReaderFailing = errors.New("reader cannot read the stream")

// newReadings returns the streams that nodes get from one another. A draining upstream must get no
// new work after 3 s: a view of the upstreams that is 1.4 s old leaves 1.6 s, of which 0.7 s are
// for the spread of fallback times.
func newReadings(s *Server) map[infra.Stream]*reading {
	config := follow.Config{Self: s.self.ID, Zone: s.self.Zone, MinNodes: minFollowNodes, Silence: silence}
	upstreams, crashes := config, config
	upstreams.Wait, upstreams.LateAge = 500*time.Millisecond, 900*time.Millisecond
	upstreams.MaxAge, upstreams.Spread = 1400*time.Millisecond, 700*time.Millisecond
	crashes.Wait, crashes.LateAge = caseWait, caseWait+readerTimeout+500*time.Millisecond
	crashes.MaxAge, crashes.Spread = crashes.LateAge+time.Second, 4*time.Second
	return map[infra.Stream]*reading{
		infra.StreamUpstreams: {
			stream: infra.StreamUpstreams, late: upstreams.LateAge, maxAge: upstreams.MaxAge, readWait: readerWait, readPause: readerPause,
			stateOf: s.upstreamState, follower: follow.New(upstreams), changed: make(chan struct{}),
		},
		infra.StreamCrashes: {
			stream: infra.StreamCrashes, late: crashes.LateAge, maxAge: crashes.MaxAge, readWait: caseWait,
			follower: follow.New(crashes), changed: make(chan struct{}),
		},
	}
}

// upstreamState returns the state of an upstream's entry, which is the same for heartbeats
// that say nothing new.
func (s *Server) upstreamState(r infra.KeyedRecord) uint64 {
	u, err := s.protocol.ParseUpstream(r.Key, r.Value)
	if err != nil {
		return xxhash.Sum64(r.Value) | 1
	}
	u.Seq = 0
	return xxhash.Sum64String(fmt.Sprint(u)) | 1
}

// A reading is the state of a stream that nodes learn from one another. The methods of a nil
// reading are those of a stream that each node reads itself.
type reading struct {
	stream infra.Stream
	// late and maxAge are LateAge and MaxAge of the follower's configuration.
	late, maxAge time.Duration
	// readWait and readPause are the wait and the pause of a reader's reads. A readPause of
	// zero leaves the pause as it is.
	readWait, readPause time.Duration
	// stateOf returns the state of a record. If it is nil, all records are passed on.
	stateOf func(r infra.KeyedRecord) uint64

	mu       sync.Mutex
	follower *follow.Follower
	buffer   follow.Buffer
	// changed is closed when there is something new for followers.
	changed chan struct{}
	// lastRead is when the node itself last read the stream.
	lastRead time.Time
	// followed is true if the view comes from another node.
	followed bool
	// asked is the node of the request in progress, and cancel cancels that request.
	asked  string
	cancel context.CancelFunc
}

// readsNext performs the node's next action for a stream. If that is a read of the store, it does
// nothing and returns true.
func (s *Server) readsNext(f feed, cursor *infra.Cursor) bool {
	r := f.reading
	if r == nil {
		return true
	}
	nodes, total := s.followCandidates()
	now := s.now()
	r.mu.Lock()
	before, beforeReader := r.follower.Role(), r.follower.Reader()
	action := r.follower.Next(now, nodes, total)
	role, readers, age := r.follower.Role(), r.follower.Readers(), r.follower.Age(now)
	_, reads := action.(follow.Read)
	if reads && r.followed {
		r.followed = false
		if from, ok := r.buffer.ReadFrom(); ok {
			cursor.Rewind(from)
		}
	}
	if reads && role == follow.Reader && !r.buffer.Valid() {
		cursor.Reset()
	}
	if role == follow.Alone {
		r.buffer.Reset()
	}
	r.mu.Unlock()
	if role != before {
		s.logger.Info("reading of a stream changes", "stream", string(f.stream), "role", string(role), "before", string(before),
			"reader_before", beforeReader, "readers", readers, "live", len(nodes), "nodes", total, "age_ms", age.Milliseconds())
	}
	switch a := action.(type) {
	case follow.Ask:
		s.ask(f, cursor, a)
	case follow.Pause:
		s.sleep(a.For)
	}
	return reads
}

// followCandidates returns the live nodes, of which some are readers, and the number of nodes.
// The owner of the stage workers of a zone has a high load and is a reader only if the zone has too
// few other nodes.
func (s *Server) followCandidates() (nodes []follow.Node, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.group.Peers()
	total = len(peers) + 1
	if total < minFollowNodes {
		return nil, total
	}
	list := make([]member.Node, 0, total)
	if !s.draining.Load() {
		list = append(list, s.self)
	}
	for _, p := range peers {
		if p.State() == member.Live && !p.Node().Leaving {
			list = append(list, p.Node())
		}
	}
	owners := make(map[string]member.Node)
	for _, n := range list {
		if o, ok := owners[n.Zone]; !ok || compareOwners(n, o) < 0 {
			owners[n.Zone] = n
		}
	}
	for _, n := range list {
		nodes = append(nodes, follow.Node{ID: n.ID, Addr: n.Addr, Zone: n.Zone, Processor: n.Processor, Busy: owners[n.Zone].ID == n.ID})
	}
	return nodes, total
}

// ask asks a reader for new records and applies them.
func (s *Server) ask(f feed, cursor *infra.Cursor, a follow.Ask) {
	r := f.reading
	ctx, cancel := context.WithTimeout(s.context, a.Timeout)
	defer cancel()
	s.mu.Lock()
	s.streamState(f.stream).cancel = cancel
	epoch := s.epoch
	s.mu.Unlock()
	r.mu.Lock()
	r.asked, r.cancel = a.Node.ID, cancel
	r.mu.Unlock()
	all, from := cursor.Whole(), cursor.Next()
	if !all {
		epoch = cursor.Epoch()
	}
	started := s.now()
	reply, err := s.peers.gossip(a.Node.Addr).Changes(ctx, &peerpb.ChangesRequest{
		Stream: string(f.stream), Epoch: int64(epoch), From: from, Whole: all, WaitMs: int32(a.Wait.Milliseconds()),
	})
	now := s.now()
	r.mu.Lock()
	r.asked, r.cancel = "", nil
	r.mu.Unlock()
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return
	case err != nil:
		s.readerSilent(now, a.Node.ID, f.stream)
		return
	}
	s.answered(f, cursor, a.Node.ID, answer{
		reply: reply, all: all, from: from,
		age: wire.Milliseconds(reply.GetAgeMs()) + max(now.Sub(started)-a.Wait, 0),
	})
}

// An answer is the reply of a reader to a request for the records from an offset on, or for all
// records. The age is the time since the reader's last read, including the transfer of the reply.
type answer struct {
	reply *peerpb.ChangesReply
	all   bool
	from  int64
	age   time.Duration
}

// answered applies the reply of a reader.
func (s *Server) answered(f feed, cursor *infra.Cursor, node string, a answer) {
	r, now, epoch := f.reading, s.now(), infra.Epoch(a.reply.GetEpoch())
	if !a.reply.GetAvailable() {
		if a.reply.GetEnd() > 0 && !a.all {
			// The reader has no longer all changes since then.
			cursor.Reset()
			return
		}
		r.mu.Lock()
		followed := r.follower.Unavailable(now, node)
		r.mu.Unlock()
		if followed {
			s.viewFailed(f.stream, errReaderFailing)
		}
		return
	}
	outdated := epoch < s.storeEpoch()
	r.mu.Lock()
	if outdated {
		r.follower.Unavailable(now, node)
	}
	before := r.follower.Role()
	counts := !outdated && r.follower.Answered(now, node, a.age)
	role, readers := r.follower.Role(), r.follower.Readers()
	r.mu.Unlock()
	if !counts {
		if !outdated && a.age > r.maxAge {
			s.viewFailed(f.stream, errReaderFailing)
		}
		return
	}
	if role != before {
		s.logger.Info("reading of a stream changes", "stream", string(f.stream), "role", string(role), "before", string(before),
			"reader", node, "readers", readers, "age_ms", a.age.Milliseconds())
	}
	s.metrics.views.WithLabelValues(string(f.stream), "node").Inc()
	s.viewed(f.stream, now.Add(-a.age), false)
	s.observeEpoch(epoch)
	page := infra.Page{Next: a.reply.GetEnd(), Epoch: epoch}
	for _, m := range a.reply.GetRecords() {
		page.Records = append(page.Records, infra.KeyedRecord{Key: m.GetKey(), Value: m.GetValue(), Offset: m.GetOffset()})
	}
	if !cursor.Advance(page) {
		r.reset()
		return
	}
	r.learn(now, a.all, a.from, page)
	if a.all || len(page.Records) > 0 {
		f.apply(page, a.all)
		s.sleep(followPause)
	}
}

// readerSilent excludes a silent node from the candidates of all streams.
func (s *Server) readerSilent(now time.Time, node string, stream infra.Stream) {
	s.metrics.countPeerFailure("changes")
	s.logger.Info("reader of a stream is silent", "stream", string(stream), "reader", node)
	for _, r := range s.readings {
		r.mu.Lock()
		r.follower.Silent(now, node)
		if r.asked == node && r.cancel != nil {
			r.cancel()
		}
		r.mu.Unlock()
	}
}

// wait returns how long a read of the store waits for changes. It is shorter in a large
// deployment, so that the age of a reader's last read shows that its reads hang.
func (r *reading) wait(d time.Duration) time.Duration {
	if r == nil || r.role() == follow.Alone {
		return d
	}
	return min(d, r.readWait)
}

// pause returns the pause after a read of the store. Readers read more often than others.
func (r *reading) pause(d time.Duration) time.Duration {
	if r == nil || r.readPause == 0 || r.role() != follow.Reader {
		return d
	}
	return r.readPause
}

func (r *reading) role() follow.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Role()
}

// failing reports whether the node's last read of the store has failed.
func (r *reading) failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Failing()
}

// decidesRetry reports whether the reading decides when a failed read is repeated.
func (r *reading) decidesRetry() bool { return r != nil && r.role() != follow.Alone }

// excuses reports whether a failed read of the store does not count as an outage: the one before
// has failed, too, and the node gets the records from others.
func (r *reading) excuses(now time.Time) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Role() != follow.Alone && r.follower.Failing() && r.follower.Age(now) <= r.maxAge
}

// ownRead records the outcome of a read of the store.
func (r *reading) ownRead(now time.Time, err error) {
	if r == nil || errors.Is(err, context.Canceled) {
		return
	}
	ok := err == nil || errors.Is(err, infra.ErrOffsetOutOfRange)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.OwnRead(now, ok)
	if ok {
		r.lastRead = now
	} else {
		r.notify()
	}
}

// add takes the records of a read of the store, passes them on, and returns those that say
// something new.
func (r *reading) add(now time.Time, all bool, from int64, page infra.Page) []infra.KeyedRecord {
	if r == nil {
		return page.Records
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.follower.Role() == follow.Alone {
		return page.Records
	}
	news, urgent := r.put(now, all, from, page)
	if urgent {
		r.notify()
	}
	return news
}

// learn takes the records that another node has passed on.
func (r *reading) learn(now time.Time, all bool, from int64, page infra.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followed = true
	r.put(now, all, from, page)
}

// put puts records in the buffer. It returns those that say something new, and whether some
// are to be passed on at once. The lock must be held.
func (r *reading) put(now time.Time, all bool, from int64, page infra.Page) (news []infra.KeyedRecord, urgent bool) {
	if !all && !r.buffer.Valid() {
		return page.Records, false
	}
	records := make([]follow.Record, len(page.Records))
	for i, record := range page.Records {
		records[i].KeyedRecord = record
		// The value is a part of a whole response, which would be kept with it.
		records[i].Value = slices.Clone(record.Value)
		if r.stateOf != nil && len(record.Value) > 0 {
			records[i].State = r.stateOf(record)
		}
	}
	if all {
		r.buffer.SetWhole(now, page.Epoch, page.Next, records)
		return page.Records, true
	}
	records = r.buffer.News(records)
	for _, record := range records {
		news = append(news, record.KeyedRecord)
	}
	return news, r.buffer.Add(now, page.Epoch, from, page.Next, records)
}

// reset drops what the buffer has, after the store was restored.
func (r *reading) reset() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffer.Reset()
	r.notify()
}

// notify wakes the followers. The lock must be held.
func (r *reading) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// serveChanges answers a follower. It waits for urgent records unless the reader is late or
// its last read has failed.
func (s *Server) serveChanges(ctx context.Context, m *peerpb.ChangesRequest) *peerpb.ChangesReply {
	r := s.readings[infra.Stream(m.GetStream())]
	if r == nil {
		return &peerpb.ChangesReply{}
	}
	r.demand(s.now())
	until := s.now().Add(min(max(time.Duration(m.GetWaitMs())*time.Millisecond, 0), maxChangesWait))
	for {
		now := s.now()
		r.mu.Lock()
		reply, urgent := r.reply(now, m)
		changed, late := r.changed, r.lastRead.Add(r.late+lateMargin)
		r.mu.Unlock()
		wake := until
		if late.Before(wake) {
			wake = late
		}
		if urgent || !wake.After(now) || !s.await(ctx, changed, wake.Sub(now)) {
			result := "ok"
			if !reply.GetAvailable() {
				result = "unavailable"
			}
			s.metrics.changesServed.WithLabelValues(string(r.stream), result).Inc()
			return reply
		}
	}
}

// await waits until a channel is closed or a time has passed, and reports whether the caller
// and the node are still there.
func (s *Server) await(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	case <-s.context.Done():
		return false
	}
	return true
}

// demand records that another node has asked, so that this node reads the stream for a while.
func (r *reading) demand(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.follower.Asked(now) && r.cancel != nil {
		r.cancel()
	}
}

// reply returns the reply to a follower, and whether it is to be sent at once. The lock must
// be held.
func (r *reading) reply(now time.Time, m *peerpb.ChangesRequest) (reply *peerpb.ChangesReply, urgent bool) {
	if !r.follower.MayServe() || !r.buffer.Valid() {
		return &peerpb.ChangesReply{}, true
	}
	var page follow.Page
	var ok bool
	if m.GetWhole() {
		page, ok = r.buffer.Whole(infra.Epoch(m.GetEpoch()))
	} else {
		page, ok = r.buffer.Since(infra.Epoch(m.GetEpoch()), m.GetFrom())
	}
	if !ok {
		return &peerpb.ChangesReply{End: page.End}, true
	}
	reply = &peerpb.ChangesReply{Available: true, Epoch: int64(page.Epoch), End: page.End, AgeMs: now.Sub(r.lastRead).Milliseconds()}
	for _, record := range page.Records {
		reply.Records = append(reply.Records, &peerpb.RecordMessage{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return reply, page.Urgent
}
