package limit

import "time"

const (
	// burstTime is the time for which a bucket saves up what is not used, but for at least
	// one request.
	burstTime = 250 * time.Millisecond
	// checkInterval is the time after which a process should get a request if it got none, to
	// learn whether its limit still holds.
	checkInterval = 2 * time.Second
	// tokenTolerance covers the rounding of parts of a token.
	tokenTolerance = 1e-6
	// maxWait bounds the result of Bucket.Wait.
	maxWait = time.Hour
)

// A Bucket is a token bucket that keeps a node to its share of a limit. The zero value has no
// limit.
type Bucket struct {
	limited bool
	// rate is the number of tokens per second.
	rate float64
	// tokens is the number of tokens at the time updatedAt.
	tokens    float64
	updatedAt time.Time
	// lastTaken is when the last token was taken, or the limit was set.
	lastTaken time.Time
}

// SetRate limits the rate of requests. A bucket without a limit starts empty: other nodes may
// have sent requests just before.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	if !b.limited {
		*b = Bucket{limited: true, updatedAt: now, lastTaken: now}
	}
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
}

// Remove removes the limit.
func (b *Bucket) Remove() { *b = Bucket{} }

func (b *Bucket) capacity() float64 {
	if b.rate <= 0 {
		return 0
	}
	return max(b.rate*burstTime.Seconds(), 1)
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.updatedAt) {
		return
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.updatedAt).Seconds(), b.capacity())
	b.updatedAt = now
}

// Limited reports whether there is a limit.
func (b *Bucket) Limited() bool { return b.limited }

// Rate returns the number of requests per second that the limit allows.
func (b *Bucket) Rate() float64 { return b.rate }

// Allows reports whether a request may be sent now.
func (b *Bucket) Allows(now time.Time) bool { return b.Wait(now) == 0 }

// Take counts a request that is sent.
func (b *Bucket) Take(now time.Time) {
	if !b.limited {
		return
	}
	b.refill(now)
	b.tokens--
	b.lastTaken = now
}

// Wait returns the time until a request may be sent.
func (b *Bucket) Wait(now time.Time) time.Duration {
	if !b.limited {
		return 0
	}
	b.refill(now)
	missing := 1 - b.tokens
	switch {
	case missing <= tokenTolerance:
		return 0
	case b.rate <= 0:
		return maxWait
	}
	return min(time.Duration(missing/b.rate*float64(time.Second))+1, maxWait)
}

// NeedsCheck reports whether a request may be sent and none was for so long that the limit
// may have ended.
func (b *Bucket) NeedsCheck(now time.Time) bool {
	return b.limited && now.Sub(b.lastTaken) >= checkInterval && b.Allows(now)
}
