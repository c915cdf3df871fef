package batch

import (
	"time"

	"teaselplank/fair"
)

const (
	// maxBorrowed bounds the wait of a request that exceeds the share of its account, as a part
	// of the time that it may wait. The rest of the queue is for requests below their shares,
	// so that they are not refused.
	maxBorrowed = 0.5
	// borrowedStep is how much this part is reduced when a request below its share is refused,
	// and borrowedRecovery how much it grows again per second.
	borrowedStep     = 0.02
	borrowedRecovery = 0.1
	// capacityStep is how much the divided part of the throughput is reduced when a request
	// below its share is refused while none may borrow: the real throughput is then less than
	// computed. capacityRecovery is how much it grows again per second.
	capacityStep     = 0.01
	capacityRecovery = 0.05
	minCapacity      = 0.5
	maxCapacity      = 1.0
)

// A supply holds the part of a pool's throughput that is divided among flows, and the limit of
// borrowing beyond their shares. Both are reduced while requests below their shares are refused.
// The zero value has no reductions.
type supply struct {
	lessCapacity, lessBorrowed float64
	updated                    time.Time
}

// recover lowers the reductions by the time that has passed.
func (u *supply) recover(now time.Time) {
	passed := max(now.Sub(u.updated), 0).Seconds()
	u.lessCapacity = max(u.lessCapacity-capacityRecovery*passed, 0)
	u.lessBorrowed = max(u.lessBorrowed-borrowedRecovery*passed, 0)
	u.updated = now
}

// reduce lowers the limit of borrowing, or the capacity if nothing may be borrowed.
func (u *supply) reduce(now time.Time) {
	u.recover(now)
	if u.borrowed() > 0 {
		u.lessBorrowed = min(u.lessBorrowed+borrowedStep, maxBorrowed)
		return
	}
	u.lessCapacity = min(u.lessCapacity+capacityStep, maxCapacity-minCapacity)
}

// capacity returns the part of the throughput that is divided, from minCapacity to maxCapacity.
func (u *supply) capacity() float64 { return maxCapacity - u.lessCapacity }

// borrowed returns the part of its possible wait that a request beyond its share may wait.
func (u *supply) borrowed() float64 { return maxBorrowed - u.lessBorrowed }

// chainPools calls a function for each pool that a request has stages in, with its pieces.
func (s *Scheduler) chainPools(j Job, f func(p *pool, pieces int)) {
	if p := s.pools[j.Service]; p != nil {
		f(p, j.Pieces)
	}
	for _, stage := range j.Downstream {
		if p := s.pools[stage.Service]; p != nil {
			f(p, stage.Pieces)
		}
	}
}

// flow returns the flow of requests that a job belongs to.
func (j Job) flow() fair.Flow { return fair.Flow{Rank: j.Rank, Account: j.Account} }

// offer records that a request asks for work in the pools of its stages.
func (s *Scheduler) offer(now time.Time, j Job) {
	s.chainPools(j, func(p *pool, pieces int) {
		p.supply.recover(now)
		p.shares.Offer(now, j.flow(), float64(pieces), p.supply.capacity()*p.rate(p.usable(now)))
	})
}

// short reports whether a pool of a request is asked for more than its capacity.
func (s *Scheduler) short(j Job) bool {
	short := false
	s.chainPools(j, func(p *pool, _ int) { short = short || p.shares.Short() })
	return short
}

// withinShare reports whether a request is of a flow that has used less than its share of each
// pool that is short.
func (s *Scheduler) withinShare(now time.Time, j Job) bool {
	within := true
	s.chainPools(j, func(p *pool, _ int) { within = within && p.shares.Within(now, j.flow()) })
	return within
}

// take records that the work of a request is admitted.
func (s *Scheduler) take(now time.Time, j Job) {
	s.chainPools(j, func(p *pool, pieces int) { p.shares.Take(now, j.flow(), float64(pieces)) })
}

// giveBack reverts take for a request of which no work was begun.
func (s *Scheduler) giveBack(now time.Time, j Job) {
	s.chainPools(j, func(p *pool, pieces int) { p.shares.Take(now, j.flow(), -float64(pieces)) })
}

// noteShareRefused reduces the supply of the pool in which a request would wait longest, as the
// request is refused although it is below its share.
func (s *Scheduler) noteShareRefused(now time.Time, j Job, c chainForecast) {
	var bottleneck *pool
	var longest, arrival time.Duration
	stage := 0
	s.chainPools(j, func(p *pool, pieces int) {
		if wait := c.ends[min(stage, len(c.ends)-1)] - arrival - p.unhinderedTime(now, pieces); p.shares.Short() && (bottleneck == nil || wait > longest) {
			bottleneck, longest = p, wait
		}
		arrival = c.ends[min(stage, len(c.ends)-1)]
		stage++
	})
	if bottleneck != nil {
		bottleneck.supply.reduce(now)
	}
}

// borrowed returns the least borrowed of the pools of a request that are short.
func (s *Scheduler) borrowed(j Job) float64 {
	share := maxBorrowed
	s.chainPools(j, func(p *pool, _ int) {
		if p.shares.Short() {
			share = min(share, p.supply.borrowed())
		}
	})
	return share
}

// siblingTime is how long the other stages of a request are refused after one was. The host that
// has the request withdraws them only once it knows of the refusal. It is shorter than the time
// until a client retries.
const siblingTime = 50 * time.Millisecond

// siblingRefused reports whether a stage of the same run of a request has just been refused.
func (s *Scheduler) siblingRefused(now time.Time, ref Ref) bool {
	at, ok := s.recentlyRefused.Get(Ref{Request: ref.Request, Run: ref.Run})
	return ok && now.Sub(at) < siblingTime
}

// shareOf returns how long a chain may take if a share of its possible wait is allowed: the time
// of its calls and that share of the rest of the time left.
func (c chainForecast) shareOf(share float64, left time.Duration) time.Duration {
	calls := time.Duration(firstCorrection * float64(c.unhindered))
	return min(calls+time.Duration(share*float64(max(left-calls, 0))), left)
}

// starvedShare is the part of its allocation below which a rank is starved. Forecasts then assume
// that the rank gets its allocation, whatever more urgent work is queued.
const starvedShare = 0.7

// minRateLeft is the least share of the workers' throughput that more urgent work is expected
// to leave.
const minRateLeft = 0.2

// estimatePrioritized is like estimateFinish for a request within its share while capacity is
// short. More urgent pieces go before it, also those that arrive while it waits, but its rank
// has an allocation that they do not use.
func (p *pool) estimatePrioritized(now time.Time, arrival time.Duration, rank int, due time.Time, pieces int) time.Duration {
	all := p.rate(p.usable(now))
	if all <= 0 {
		return maxForecast
	}
	moreUrgent, same := p.ahead(rank, due)
	left := all
	if arrival == 0 {
		// What will arrive in pools downstream is upcoming there and counted already.
		left = max(all-p.shares.MoreUrgent(rank), minRateLeft*all)
	}
	end := p.estimateFinish(now, arrival, moreUrgent+same, pieces, left)
	if allocated, used := p.shares.Rank(now, rank); used < starvedShare*allocated {
		end = min(end, p.estimateFinish(now, arrival, same, pieces, allocated))
	}
	return end
}

// ahead returns the number of pieces of more urgent requests than those of a rank, and of those
// of the rank that go before a job due at some time.
func (p *pool) ahead(rank int, due time.Time) (moreUrgent, same int) {
	rank = fair.ClampRank(rank)
	for _, j := range p.queue {
		switch r := fair.ClampRank(j.Rank); {
		case r < rank:
			moreUrgent += len(j.pending)
		case r == rank && !j.startDue.After(due):
			same += len(j.pending)
		}
	}
	for r := range rank {
		moreUrgent += p.upcomingByRank[r]
	}
	return moreUrgent, same + p.upcomingByRank[rank]
}
