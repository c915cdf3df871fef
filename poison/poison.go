// Package poison finds what in requests crashes upstreams, and tells which requests must be
// kept from upstreams for that: a part of their prompts, or the request as a whole, which its
// client sends again.
//
// A case is one process of an upstream that ended while it had a request with a part. A
// part with cases at several processes is poisonous, unless responses to other requests
// with it were completed meanwhile. Parts that were in the same requests at all crashes
// cannot be told apart, so only requests with all of them are held back. A part is explained
// by another one that has all its cases and more, none with a lower weight.
//
// A request as a whole is one more part, named by Whole. It differs in three ways: its cases
// weigh the same whether its response had begun or not, a single response shows that it is
// sound, and it is also explained by several others that have more cases each, since it may
// have waited at upstreams that they ended. Requests that are the same but for their prompts
// have a further such part for each part of the prompt, named by WholeWith.
//
// The types are plain data without a clock. They are not safe for concurrent use.
package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/queue"
)

// A Process is one start of an upstream.
type Process struct {
	ID string
	// Born is the start of the process in milliseconds of Unix time.
	Born int64
}

// wholePrefix distinguishes whole requests from parts of prompts, whose IDs have no comma.
const wholePrefix = "request,"

// Whole returns the part that stands for a request as a whole, given a digest of it.
func Whole(digest string) string { return wholePrefix + digest }

// WholeWith returns the part that stands for requests with a digest and a part of their prompts.
func WholeWith(digest, part string) string { return Whole(digest) + "," + part }

func isWhole(part string) bool { return strings.HasPrefix(part, wholePrefix) }

// digestOf returns the digest of a whole request, or an empty string for a part of a prompt.
func digestOf(part string) string {
	whole, ok := strings.CutPrefix(part, wholePrefix)
	if !ok {
		return ""
	}
	digest, _, _ := strings.Cut(whole, ",")
	return digest
}

// A Weight says how much a case counts.
type Weight int

const (
	// Refuted is the weight of a case that counts no more, as a response to a request
	// with the part was completed later.
	Refuted Weight = 0
	// Waiting is the weight of a request whose response had not begun: another request at
	// the process may have ended it.
	Waiting Weight = 1
	// Begun is the weight of a request whose response had begun but had no content.
	Begun Weight = 2
)

// poisonWeight is the sum of weights from which a part is poisonous: three processes that
// ended at the beginning of a response, or twice as many with the request waiting.
const poisonWeight = 3 * Begun

// A Case says that a process ended while it had a request with a part.
type Case struct {
	Part    string
	Process Process
	Weight  Weight
}

// Key returns a short text that identifies the part and the process of the case.
func (c Case) Key() string {
	return fmt.Sprintf("%s/%x", c.Part, xxhash.Sum64String(fmt.Sprint(c.Process.ID, "/", c.Process.Born)))
}

const (
	// maxSuspects and maxCases bound the parts that are known and the cases of each of
	// them.
	maxSuspects = 1024
	maxCases    = 16
	// maxRefuted bounds the refuted cases of a part. It is larger, since a frequent part
	// that is sound has a case at each crash that another one causes.
	maxRefuted = 128
	// maxCompleted bounds the parts of which the last completion is known, and
	// maxCompletedWhole the same for whole requests, each of which has several.
	maxCompleted      = 4096
	maxCompletedWhole = 4 * maxCompleted
	// soundTime is how long a completed response shows that its parts are sound. It
	// keeps the cases of frequent parts from being shared.
	soundTime = 2 * time.Second
	// soundWholeTime is the same for whole requests, which may wait at several upstreams that
	// another one ends.
	soundWholeTime = time.Minute
)

// KeepTime is how long a part is remembered after its last case, or after the last request
// with it was held back.
const KeepTime = 10 * time.Minute

// A Detector holds the cases of all nodes. The zero value knows none.
type Detector struct {
	suspects map[string]*suspect
	// groups are the sets of parts that crash upstreams, in order, and byPart holds them by
	// their first parts. They are derived from suspects, and older than these if stale is
	// true.
	groups [][]string
	byPart map[string][][]string
	stale  bool
	// completed is when the last response to a request with a part was completed, and
	// completedWhole the same for whole requests, which would displace the parts.
	completed      queue.FIFOMap[string, time.Time]
	completedWhole queue.FIFOMap[string, time.Time]
}

// A suspect is a part with cases.
type suspect struct {
	// cases are those that count, and refuted those that do not. No process is in both.
	// weight is the sum of the weights of cases.
	cases   map[Process]Weight
	weight  Weight
	refuted map[Process]bool
	// published is true once the refuted cases were returned to be shared.
	published bool
	// lastSeen is when the part last had a case or was in a request that was held back.
	lastSeen time.Time
}

// put sets the weight of a case, and drop removes a case if there is one.
func (s *suspect) put(p Process, w Weight) {
	s.weight += w - s.cases[p]
	s.cases[p] = w
}

func (s *suspect) drop(p Process) {
	s.weight -= s.cases[p]
	delete(s.cases, p)
}

// poisonous reports whether requests with the part are held back, unless another part
// explains its cases.
func (s *suspect) poisonous() bool { return s.weight >= poisonWeight }

// Add adds a case. It returns the cases of the part that must be refuted at other nodes
// for it: those before the last completed response. Cases of unknown weights, which other
// writers may have shared, are not added.
func (d *Detector) Add(now time.Time, c Case) (refuted []Case) {
	if c.Part == "" || c.Weight != Waiting && c.Weight != Begun {
		return nil
	}
	s := d.suspect(now, c.Part)
	if s.refuted[c.Process] || s.cases[c.Process] >= c.Weight || len(s.cases) >= maxCases {
		return nil
	}
	if isWhole(c.Part) && d.WasSound(now, c.Part) {
		s.addRefuted(c.Process)
		return []Case{{Part: c.Part, Process: c.Process, Weight: Refuted}}
	}
	s.put(c.Process, c.Weight)
	s.lastSeen = now
	d.stale = true
	return s.publish(c.Part)
}

// Excuses reports whether a part is not to be suspected for a case of the given weight,
// since responses to requests with it were completed: a short time ago, or ever, if the
// request was only waiting. Many processes may end at once for another reason, and frequent
// parts are then waiting at all of them.
func (d *Detector) Excuses(now time.Time, part string, w Weight) bool {
	if w == Waiting || isWhole(part) {
		return d.WasSound(now, part)
	}
	return d.completedWithin(now, part, soundTime)
}

// WasSound reports whether responses to requests with a part were completed, so that its
// cases are more likely those of another part.
func (d *Detector) WasSound(now time.Time, part string) bool {
	if isWhole(part) {
		return d.completedWithin(now, part, soundWholeTime)
	}
	return d.completedWithin(now, part, KeepTime)
}

func (d *Detector) completedWithin(now time.Time, part string, age time.Duration) bool {
	at, ok := d.completions(part).Get(part)
	return ok && now.Sub(at) < age
}

// completions returns the map that has the last completion of a part.
func (d *Detector) completions(part string) *queue.FIFOMap[string, time.Time] {
	completions := &d.completed
	completions.Limit = maxCompleted
	if isWhole(part) {
		completions = &d.completedWhole
		completions.Limit = maxCompletedWhole
	}
	return completions
}

// suspect returns the entry of a part. If there are too many, it replaces the one that was
// seen least recently, but one that may be held back only if all others may be, too.
func (d *Detector) suspect(now time.Time, part string) *suspect {
	if s := d.suspects[part]; s != nil {
		return s
	}
	if d.suspects == nil {
		d.suspects = make(map[string]*suspect)
	}
	if len(d.suspects) >= maxSuspects {
		delete(d.suspects, d.leastNeeded())
	}
	s := &suspect{cases: make(map[Process]Weight), refuted: make(map[Process]bool), lastSeen: now}
	d.suspects[part] = s
	return s
}

// leastNeeded returns the part that was seen least recently of those that are not held
// back, or of all if there are no others.
func (d *Detector) leastNeeded() string {
	var least string
	var l *suspect
	for part, s := range d.suspects {
		c := -1
		if l != nil {
			c = s.compareNeed(l)
		}
		if c < 0 || c == 0 && part < least {
			least, l = part, s
		}
	}
	return least
}

// compareNeed orders parts by how much they are needed: those that may be held back last,
// and of the others those that were seen last.
func (s *suspect) compareNeed(o *suspect) int {
	switch {
	case s.poisonous() == o.poisonous():
		return s.lastSeen.Compare(o.lastSeen)
	case s.poisonous():
		return 1
	default:
		return -1
	}
}

// HasCases reports whether there are cases at a process, also refuted ones.
func (d *Detector) HasCases(p Process) bool {
	for _, s := range d.suspects {
		if s.cases[p] > Refuted || s.refuted[p] {
			return true
		}
	}
	return false
}

// Withdraw removes the cases of a process, which has not ended.
func (d *Detector) Withdraw(p Process) {
	for part, s := range d.suspects {
		s.drop(p)
		if len(s.cases)+len(s.refuted) == 0 {
			delete(d.suspects, part)
		}
	}
	d.stale = true
}

// Completed records a response to a request with the parts that was completed, or that goes
// on long after its beginning: their cases so far do not count. It returns those that must
// be refuted at other nodes at once, because they are about to hold sound requests back.
func (d *Detector) Completed(now time.Time, parts []string) (refuted []Case) {
	for _, part := range parts {
		d.completions(part).Put(part, now)
		s := d.suspects[part]
		if s == nil || len(s.cases) == 0 {
			continue
		}
		urgent := s.weight >= poisonWeight/2
		d.stale = true
		s.refute()
		if urgent {
			refuted = append(refuted, s.publish(part)...)
		}
	}
	return refuted
}

// refute makes all cases count no more.
func (s *suspect) refute() {
	for p := range s.cases {
		s.addRefuted(p)
	}
	clear(s.cases)
	s.weight = 0
	s.published = false
}

// addRefuted adds a refuted case. If there are too many, it replaces that of the process
// that started first, as other nodes are the least likely to have that one still.
func (s *suspect) addRefuted(p Process) {
	s.refuted[p] = true
	if len(s.refuted) > maxRefuted {
		delete(s.refuted, slices.MinFunc(slices.Collect(maps.Keys(s.refuted)), compareBorn))
	}
}

func compareBorn(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.ID, b.ID))
}

// publish returns the refuted cases unless they were returned before.
func (s *suspect) publish(part string) []Case {
	if s.published || len(s.refuted) == 0 {
		return nil
	}
	s.published = true
	return slices.DeleteFunc(s.list(part), func(c Case) bool { return c.Weight > Refuted })
}

// Refute records that another node has refuted a case.
func (d *Detector) Refute(now time.Time, c Case) {
	s := d.suspect(now, c.Part)
	s.drop(c.Process)
	s.addRefuted(c.Process)
	d.stale = true
}

// Forget removes a case that another node has forgotten. It returns false if the case is
// kept, because requests with the part are still held back here.
func (d *Detector) Forget(now time.Time, c Case) bool {
	s := d.suspects[c.Part]
	if s == nil {
		return true
	}
	if s.cases[c.Process] > Refuted && now.Sub(s.lastSeen) < KeepTime {
		return false
	}
	s.drop(c.Process)
	delete(s.refuted, c.Process)
	if len(s.cases)+len(s.refuted) == 0 {
		delete(d.suspects, c.Part)
	}
	d.stale = true
	return true
}

// Expire removes the parts that were not seen for keep and returns their cases.
func (d *Detector) Expire(now time.Time, keep time.Duration) []Case {
	var expired []Case
	for part, s := range d.suspects {
		if now.Sub(s.lastSeen) < keep {
			continue
		}
		expired = append(expired, s.list(part)...)
		delete(d.suspects, part)
		d.stale = true
	}
	return expired
}

// list returns all cases of a part, also the refuted ones, in order.
func (s *suspect) list(part string) []Case {
	var list []Case
	for p, w := range s.cases {
		list = append(list, Case{Part: part, Process: p, Weight: w})
	}
	for p := range s.refuted {
		list = append(list, Case{Part: part, Process: p, Weight: Refuted})
	}
	slices.SortFunc(list, func(a, b Case) int {
		return cmp.Or(cmp.Compare(a.Process.ID, b.Process.ID), cmp.Compare(a.Process.Born, b.Process.Born))
	})
	return list
}

// Cases returns all cases, also the refuted ones, those of the parts with the largest weight
// first.
func (d *Detector) Cases() []Case {
	parts := slices.SortedFunc(maps.Keys(d.suspects), func(a, b string) int {
		s, o := d.suspects[a], d.suspects[b]
		return cmp.Or(cmp.Compare(o.weight, s.weight), o.lastSeen.Compare(s.lastSeen), cmp.Compare(a, b))
	})
	var list []Case
	for _, part := range parts {
		list = append(list, d.suspects[part].list(part)...)
	}
	return list
}

// Weight returns the sum of the weights of a part's case.
func (d *Detector) Weight(part string) Weight {
	if s := d.suspects[part]; s != nil {
		return s.weight
	}
	return 0
}

// Groups returns the sets of parts that crash upstreams.
func (d *Detector) Groups() [][]string {
	d.refresh()
	return d.groups
}

// Match returns the parts for which a request is to be held back, or nil if there are
// none.
func (d *Detector) Match(now time.Time, parts []string) []string {
	d.refresh()
	for _, part := range parts {
		for _, g := range d.byPart[part] {
			if containsAll(parts, g) {
				d.see(now, g)
				return g
			}
		}
	}
	return nil
}

// see records that a request was held back for a group.
func (d *Detector) see(now time.Time, group []string) {
	for _, part := range group {
		d.suspects[part].lastSeen = now
	}
}

func containsAll(parts, group []string) bool {
	for _, part := range group {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
