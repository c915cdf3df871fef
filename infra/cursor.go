package infra

// A Cursor is a reader's position in a stream. The zero value has read nothing.
type Cursor struct {
	// next and epoch are valid if known is true. next is the offset of the next read in
	// the store of that epoch.
	known bool
	next  int64
	epoch Epoch
}

// Whole reports whether the next read must return the newest record of each key, since
// the reader has no position in the stream.
func (c *Cursor) Whole() bool { return !c.known }

// Next returns the offset of the next read.
func (c *Cursor) Next() int64 { return c.next }

// Epoch returns the epoch of the store in which the offset of the next read counts.
func (c *Cursor) Epoch() Epoch { return c.epoch }

// Rewind moves the position of the next read back to an offset. It does nothing if there is no
// position or it is not after the offset.
func (c *Cursor) Rewind(offset int64) {
	if c.known && offset < c.next {
		c.next = offset
	}
}

// Reset makes the next read a whole one.
func (c *Cursor) Reset() { c.known = false }

// Advance moves the cursor past a page and reports whether the reader should apply the
// page. It should not if the store was restored since the read before: the page then
// starts at an offset that has another meaning, and the next read must be a whole one.
func (c *Cursor) Advance(p Page) bool {
	if c.known && p.Epoch != c.epoch {
		c.Reset()
		return false
	}
	c.known, c.next, c.epoch = true, p.Next, p.Epoch
	return true
}
