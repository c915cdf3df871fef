package proxy

import "time"

// OriginSource says how a node knows which version began a stream.
type OriginSource string

// The sources of origins.
const (
	// OriginUnknown means that the node does not know the version.
	OriginUnknown OriginSource = ""
	// OriginAnswer means that the stream began in the answer of the request itself.
	OriginAnswer OriginSource = "answer"
)

// A streamOrigin is what a node knows about the software version that began a stream. The
// zero value knows nothing.
type streamOrigin struct {
	version string
	source  OriginSource
	// learned is when the node learned the version.
	learned time.Time
}

// allows reports whether an upstream may go on with the stream. Events of different
// versions do not fit together.
func (o streamOrigin) allows(u *upstream) bool {
	return o.source == OriginUnknown || u.Version == o.version
}

// attrs returns the origin as keys and values of a log line.
func (o streamOrigin) attrs(now time.Time) []any {
	if o.source == OriginUnknown {
		return []any{"began", "", "began_by", ""}
	}
	return []any{"began", o.version, "began_by", string(o.source), "began_age_ms", now.Sub(o.learned).Milliseconds()}
}
