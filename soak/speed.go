package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// speedSeeds and speedSeed select the seeds in which upstreams report their load. Other
	// seeds stay unchanged, so that those that have failed once reproduce the same run.
	speedSeeds = 4
	speedSeed  = 3
	// usualSlowness is that of an upstream at the usual speed, in percent, and slowPeriod how
	// long an upstream is slow.
	usualSlowness = 100
	slowPeriod    = 600 * time.Millisecond
)

// slownesses are those of slow upstreams, in percent. All requests can still be served in time.
var slownesses = []int{150, 250, 400}

// falseReports are load reports that upstreams send instead of their own. An empty one stands for
// their own.
var falseReports = []string{"", "", "", "0,0,32,1", "1048576,1048576,32,10000", "1000000000,-1,32,0", ",,,", "3,0", "x,0,32,100", "1,0,32,100,7"}

// reportsLoad reports whether the upstreams of a run report their load.
func (o Options) reportsLoad() bool { return o.Seed%speedSeeds == speedSeed }

// changeSpeeds makes one upstream after the other slow for a time, or report a false load, until
// the context ends. All upstreams then have the usual speed.
func (d *deployment) changeSpeeds(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 1))
	for ctx.Err() == nil {
		d.mu.Lock()
		u := d.upstreams[random.IntN(len(d.upstreams))]
		d.mu.Unlock()
		u.worker.SetSlowness(slownesses[random.IntN(len(slownesses))])
		u.worker.SetReport(falseReports[random.IntN(len(falseReports))])
		select {
		case <-ctx.Done():
		case <-time.After(slowPeriod):
		}
		u.worker.SetSlowness(usualSlowness)
		u.worker.SetReport("")
	}
}
