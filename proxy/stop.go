package proxy

import "time"

// stopping reports whether the node is shutting down.
func (n *Node) stopping() bool { return !n.stop.Until.IsZero() }

// mayOutlastStop reports whether the node is stopping and the rest of a request, whose
// duration is estimated from times, may not end before that. A request that ends by its
// own deadline always fits. Of the others, those that arrived while the front end still
// sent clients here fit if that is very likely, and later ones never do.
func (n *Node) mayOutlastStop(now time.Time, r *request, times durationsByRoute) bool {
	if !n.stopping() || !r.deadline.After(n.stop.Until) {
		return false
	}
	if !r.arrived.Before(n.stop.Unlisted) {
		return true
	}
	return now.Add(times.upperBound(r)).After(n.stop.Until)
}

// stopAttrs returns the log attributes that explain the decisions of a stopping node, or
// nothing if it is not stopping.
func (n *Node) stopAttrs(now time.Time, r *request) []any {
	if !n.stopping() {
		return nil
	}
	attrs := []any{
		"stop_ms", n.stop.Until.Sub(now).Milliseconds(), "unlisted_ms", n.stop.Unlisted.Sub(now).Milliseconds(),
		"conn_age_ms", r.Connection.Age.Milliseconds(), "conn_earlier", r.Connection.Earlier,
	}
	if r.route != nil {
		attrs = append(attrs, "answer_within_ms", n.answerTimes.upperBound(r).Milliseconds(),
			"response_within_ms", n.responseTimes.upperBound(r).Milliseconds())
	}
	return attrs
}
