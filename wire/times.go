package wire

import "time"

// maxTime bounds the times in messages of other nodes, in both directions, so that sums of times do
// not overflow.
const maxTime = 24 * time.Hour

// Milliseconds returns a time in a message of another node, given in milliseconds. One beyond a day
// counts as a day.
func Milliseconds(n int64) time.Duration {
	const most = int64(maxTime / time.Millisecond)
	return time.Duration(min(max(n, -most), most)) * time.Millisecond
}
