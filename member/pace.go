package member

import (
	"time"

	"teaselplank/limit"
)

// mergePaces records the paces of upstreams that another node knows.
func (g *Group) mergePaces(now time.Time, paces []limit.Limit) {
	var news []limit.Limit
	for _, l := range paces {
		if g.paces.Merge(now, l) {
			news = append(news, l)
		}
	}
	g.spreadPaces(news)
}

// spreadPaces reports paces that have changed, and sends them to other nodes. Those that are
// too many for one digest spread with the next rounds.
func (g *Group) spreadPaces(news []limit.Limit) {
	if len(news) == 0 {
		return
	}
	for _, l := range news {
		g.emit(PaceChanged{l})
	}
	g.spread(Digest{From: g.self, Paces: news[:min(len(news), g.config.MaxLimits)]})
}

// Paces returns what is known of the paces of upstreams, also of those that have ended.
func (g *Group) Paces() []limit.Limit { return g.paces.All() }

// Pace returns the pace of a process. It has Ended if there is none.
func (g *Group) Pace(p limit.Process) limit.Limit {
	if l, known := g.paces.Get(p); known {
		return l
	}
	return limit.Limit{Process: p, Ended: true}
}
