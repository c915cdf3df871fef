package proxy

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"teaselplank/fleet"
	"teaselplank/poison"
	"teaselplank/trace"
)

// heldBackRetryAfter is the delay after which the client of a request that is held back is asked
// to retry. It is shorter than poison.KeepTime: responses that end or crashes of other requests
// may show within seconds that the request is sound, and a retry that is not costs no upstream
// anything.
const heldBackRetryAfter = 30 * time.Second

// maxChecks bounds the upstreams that are checked at the same time after a failure.
const maxChecks = 256

// A crashCheck is an upstream that is being checked after an attempt there has failed, or was
// left by its client.
type crashCheck struct {
	upstream fleet.Upstream
	// cases are to be shared with the other nodes if the process has ended.
	cases []poison.Case
	// sound are the parts that do not crash upstreams if the process has not ended.
	sound []string
	// ended is true if another node has found that the process has ended. This node may
	// not reach it for another reason.
	ended bool
	// outdated is true if cases were added to a check that had begun for other reasons, so
	// that the process may have ended since. It is then checked again.
	outdated bool
}

// crashParts returns what in a request may crash upstreams: the parts of its prompt, if they
// are engines, and the request as a whole.
func (n *Node) crashParts(r *request) []string {
	return append(n.promptParts(r), r.whole...)
}

// promptParts returns the parts of a request's prompt if its upstreams are engines.
func (n *Node) promptParts(r *request) []string {
	if !n.isEngine(r.service) {
		return nil
	}
	return slices.Clone(r.PromptParts)
}

// wholeParts returns the parts that stand for a request as a whole: one for its digest, and one
// for its digest with each part of its prompt, also the last, which is empty if it has no prompt.
// Requests with the same digest may have other prompts, of which only some crash upstreams.
func (n *Node) wholeParts(r *request) []string {
	if r.Digest == "" {
		return nil
	}
	parts := []string{poison.Whole(r.Digest)}
	for _, part := range n.promptParts(r) {
		parts = append(parts, poison.WholeWith(r.Digest, part))
	}
	if n.isEngine(r.service) {
		parts = append(parts, poison.WholeWith(r.Digest, r.OwnPart))
	}
	return parts
}

// caseWeight returns the weight of a part's case at an upstream. It did not begin to run a
// whole request that was waiting, but what it ran ended it at the same time.
func (n *Node) caseWeight(now time.Time, r *request, a *attempt, part string) poison.Weight {
	switch {
	case slices.Contains(r.whole, part):
		return poison.Begun
	case !a.responding || n.poison.WasSound(now, part):
		return poison.Waiting
	}
	return poison.Begun
}

// suspectParts suspects the parts of a request whose attempt broke before its response had
// content. Until the upstream was checked, only this node counts the cases.
func (n *Node) suspectParts(now time.Time, r *request, a *attempt, f Failure) {
	if f != ConnectionFailed || a.started {
		return
	}
	process := poison.Process{ID: a.upstream.ID, Born: a.upstream.Born}
	check, checking := n.crashChecks[process]
	if !checking && len(n.crashChecks) >= maxChecks {
		return
	}
	if !checking {
		check = crashCheck{upstream: a.upstream.Upstream, ended: n.poison.HasCases(process)}
	}
	check.outdated = checking && (check.outdated || len(check.cases) == 0)
	seen := poison.Waiting
	if a.responding {
		seen = poison.Begun
	}
	for _, part := range n.crashParts(r) {
		if n.poison.Excuses(now, part, seen) {
			continue
		}
		c := poison.Case{Part: part, Process: process, Weight: n.caseWeight(now, r, a, part)}
		n.shareCases(n.poison.Add(now, c))
		check.cases = append(check.cases, c)
	}
	if len(check.cases) == 0 {
		return
	}
	n.crashChecks[process] = check
	if !checking {
		n.emit(CheckUpstream{Upstream: a.upstream.Upstream})
	}
}

// upstreamChecked shares the cases of an upstream that has ended, and withdraws them if
// it has not, also as far as other nodes know. What the requests that were left there hold is
// sound then.
func (n *Node) upstreamChecked(now time.Time, e UpstreamChecked) {
	process := poison.Process{ID: e.ID, Born: e.Born}
	check, ok := n.crashChecks[process]
	if !ok {
		return
	}
	if !e.Ended && check.outdated {
		n.crashChecks[process] = crashCheck{upstream: check.upstream, cases: check.cases, ended: check.ended}
		n.emit(CheckUpstream{Upstream: check.upstream})
		return
	}
	delete(n.crashChecks, process)
	if !e.Ended && !check.ended {
		n.poison.Withdraw(process)
		n.showSound(now, check.sound)
		return
	}
	n.shareCases(check.cases)
	n.recordPoison()
}

// casesRead adds what other nodes have shared.
func (n *Node) casesRead(now time.Time, cases []poison.Case) {
	for _, c := range cases {
		if check, checking := n.crashChecks[c.Process]; checking {
			check.ended = true
			n.crashChecks[c.Process] = check
		}
		if c.Weight == poison.Refuted {
			n.poison.Refute(now, c)
			continue
		}
		n.shareCases(n.poison.Add(now, c))
	}
	n.recordPoison()
}

// casesForgotten removes cases that another node has forgotten, and shares those again
// that this node still needs.
func (n *Node) casesForgotten(now time.Time, cases []poison.Case) {
	for _, c := range cases {
		if !n.poison.Forget(now, c) {
			n.shareCases([]poison.Case{c})
		}
	}
	n.recordPoison()
}

// expireCases forgets parts that were not seen for a long time.
func (n *Node) expireCases(now time.Time) {
	if expired := n.poison.Expire(now, poison.KeepTime+n.config.KeepDelay); len(expired) > 0 {
		n.emit(ForgetCases{Cases: expired})
		n.recordPoison()
	}
}

// completedParts records that the parts of a completed request do not crash upstreams. An
// error shows it only of the request as a whole.
func (n *Node) completedParts(now time.Time, r *request, status int) {
	if status != http.StatusOK {
		n.showSound(now, r.whole)
		return
	}
	n.showSound(now, n.crashParts(r))
}

// showSound records that parts do not crash upstreams.
func (n *Node) showSound(now time.Time, parts []string) {
	n.shareCases(n.poison.Completed(now, parts))
	n.recordPoison()
}

// soundAfter is how long after its first event a response shows that the parts of its prompt
// do not crash upstreams. Long responses would show it too late, as none may be left when
// their parts are held back.
const soundAfter = time.Second

// proveParts records the same for requests whose responses go on, once for each response.
func (n *Node) proveParts(now time.Time) {
	var sound []*request
	for _, r := range n.requests {
		a := r.current
		if a != nil && a.started && !a.sound && now.Sub(a.startedAt) >= soundAfter {
			a.sound = true
			sound = append(sound, r)
		}
	}
	slices.SortFunc(sound, func(a, b *request) int { return cmp.Compare(a.Number, b.Number) })
	for _, r := range sound {
		n.shareCases(n.poison.Completed(now, n.crashParts(r)))
	}
	n.recordPoison()
}

// clientLeftResponse records that a client has left a response that had begun, or that the
// request's time was over. The parts of the request do not crash upstreams if this one got
// further than requests that do: to an event, or to the head of a plain response. Where a part
// is suspected, the upstream must also live on.
func (n *Node) clientLeftResponse(now time.Time, r *request) {
	a := r.current
	if a == nil || a.sound || !a.started && (!a.responding || n.isEngine(r.service)) {
		return
	}
	parts := n.crashParts(r)
	isSuspected := func(part string) bool { return n.poison.Weight(part) > poison.Refuted }
	if !slices.ContainsFunc(parts, isSuspected) {
		n.showSound(now, parts)
		return
	}
	n.checkSound(a.upstream.Upstream, parts)
}

// checkSound checks that an upstream lives on after requests with some parts.
func (n *Node) checkSound(u fleet.Upstream, parts []string) {
	process := poison.Process{ID: u.ID, Born: u.Born}
	check, checking := n.crashChecks[process]
	if !checking && len(n.crashChecks) >= maxChecks || n.poison.HasCases(process) {
		return
	}
	check.upstream = u
	for _, part := range parts {
		if !slices.Contains(check.sound, part) {
			check.sound = append(check.sound, part)
		}
	}
	n.crashChecks[process] = check
	if !checking {
		n.emit(CheckUpstream{Upstream: u})
	}
}

func (n *Node) shareCases(cases []poison.Case) {
	if len(cases) > 0 {
		n.emit(ShareCases{Cases: cases})
	}
}

// recordPoison records which parts requests are now held back for, if that has changed.
func (n *Node) recordPoison() {
	groups := n.poison.Groups()
	if slices.EqualFunc(groups, n.poisonGroups, slices.Equal) {
		return
	}
	n.emit(PoisonChanged{Groups: groups, Before: len(n.poisonGroups)})
	n.poisonGroups = groups
}

// poisonIn returns the parts of a request for which it must be kept from upstreams, since
// they crash them, or nil.
func (n *Node) poisonIn(now time.Time, r *request) []string {
	return n.poison.Match(now, n.crashParts(r))
}

// holdsBack reports whether a request must be kept from upstreams, and records why.
func (n *Node) holdsBack(now time.Time, r *request) bool {
	group := n.poisonIn(now, r)
	if group == nil {
		return false
	}
	n.record(r, trace.HeldBack, "", "parts", group, "weight", int(n.poison.Weight(group[0])), "attempts", r.attempts)
	return true
}

// PoisonCases returns the cases that this node knows of parts of requests that crash
// upstreams, but for those at upstreams that are still being checked.
func (n *Node) PoisonCases() []poison.Case {
	return slices.DeleteFunc(n.poison.Cases(), func(c poison.Case) bool {
		check, checking := n.crashChecks[c.Process]
		return checking && !check.ended
	})
}

// PoisonGroups returns the sets of parts that requests are held back for.
func (n *Node) PoisonGroups() [][]string { return n.poison.Groups() }
