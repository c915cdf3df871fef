package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselplank/infra"
	"teaselplank/platform/stand"
)

// firstVersion is that of the configuration before the one that reads miss.
const firstVersion = 2

// allKnown reports whether each node knows a number of live nodes, with itself.
func (d *deployment) allKnown(nodes int) bool {
	for _, n := range d.nodes {
		n.server.mu.Lock()
		known := len(n.server.group.Live())
		n.server.mu.Unlock()
		if known < nodes {
			return false
		}
	}
	return true
}

// takingTurns reports whether each node counts a number of nodes that take turns, with itself.
func (d *deployment) takingTurns(nodes int) bool {
	for _, n := range d.nodes {
		n.server.mu.Lock()
		_, counted := n.server.configRank()
		n.server.mu.Unlock()
		if counted != nodes {
			return false
		}
	}
	return true
}

// configTime is how long after its acknowledgement a version may take to be in force.
const configTime = 2 * time.Second

// A configFault keeps the reads that wait for a configuration from getting it.
type configFault struct {
	name string
	// write writes a version, which the waiting reads miss, and returns it.
	write func(d *deployment) (version int64)
}

var configFaults = []configFault{
	{"the part of the store is silent", silentFor(time.Second)},
	{"it is silent for 3 s", silentFor(3 * time.Second)},
	{"it is silent for 8 s", silentFor(8 * time.Second)},
	{"the store is slow", func(d *deployment) int64 {
		// The reads that wait already get the first version, and the next ones miss the second.
		d.store.SetTopicDeaf(stand.TopicOperator, true)
		stand.PutConfig(d.store, firstVersion+1)
		time.Sleep(300 * time.Millisecond)
		stand.PutConfig(d.store, firstVersion+2, "/added/")
		time.Sleep(300 * time.Millisecond)
		d.store.SetTopicDeaf(stand.TopicOperator, false)
		return firstVersion + 2
	}},
}

// silentFor returns a fault in which the part of the store that has the configuration is silent for a
// time. The version is written halfway.
func silentFor(silence time.Duration) func(d *deployment) int64 {
	return func(d *deployment) int64 {
		d.store.SetTopicSilent(stand.TopicOperator, true)
		time.Sleep(silence / 2)
		stand.PutConfig(d.store, firstVersion+1, "/added/")
		time.Sleep(silence / 2)
		d.store.SetTopicSilent(stand.TopicOperator, false)
		return firstVersion + 1
	}
}

// wantVersion checks that a version is in force on all nodes by a time.
func (d *deployment) wantVersion(t *testing.T, version int64, by time.Time) {
	t.Helper()
	for _, n := range d.nodes {
		for d.versionOf(n) < version {
			if late := time.Since(by); late > 0 {
				t.Errorf("%s has version %d, want %d", n.server.settings.Node, d.versionOf(n), version)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (d *deployment) versionOf(n *testNode) int64 {
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	return n.server.configVersion()
}

// Guards against a configuration that no node knows before its read of it has waited in vain, as
// the reads of all nodes missed it.
func TestConfigMissedByWaitingReads(t *testing.T) {
	atEachFault(t, func(t *testing.T, d *deployment, fault configFault) {
		d.await("the nodes know each other", func() bool { return d.allKnown(len(d.nodes)) })
		// The reads before it were sent when nodes knew few others.
		stand.PutConfig(d.store, firstVersion)
		d.wantVersion(t, firstVersion, time.Now().Add(configTime))
		version := fault.write(d)
		settled := time.Now().Add(settleTime)
		d.wantVersion(t, version, settled)
		t.Log("in force after", time.Since(settled.Add(-settleTime)))
		stand.PutConfig(d.store, version+1)
		d.wantVersion(t, version+1, laterOf(settled, time.Now().Add(configTime)))
		time.Sleep(time.Until(settled))
		stand.PutConfig(d.store, version+2)
		d.wantVersion(t, version+2, time.Now().Add(configTime))
	})
}

// atEachFault runs a check for each fault, with deployments of several sizes.
func atEachFault(t *testing.T, check func(t *testing.T, d *deployment, fault configFault)) {
	for _, nodes := range []int{1, 7, 14} {
		for _, fault := range configFaults {
			t.Run(fmt.Sprintf("%s, %d nodes", fault.name, nodes), func(t *testing.T) {
				t.Parallel()
				check(t, deploy(t, nodes), fault)
			})
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against the same just after nodes have started: the reads that wait were sent when their
// nodes knew few others, so that their turns may coincide.
func TestConfigMissedAfterStart(t *testing.T) {
	atEachFault(t, func(t *testing.T, d *deployment, fault configFault) {
		time.Sleep(settleTime)
		version := fault.write(d)
		d.wantVersion(t, version, time.Now().Add(settleTime))
	})
}

// Guards against the cause of the same, which needs no fault to be seen: the reads that wait leave a
// long time in which none ends, as nodes have started, come or gone since they were sent.
func TestConfigReadsTakeTurns(t *testing.T) {
	for _, nodes := range []int{1, 2, 7, 13, 14} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, nodes)
			time.Sleep(settleTime)
			d.wantTurns(t, "after the start")
			d.addNode("late-1")
			d.addNode("late-2")
			d.await("the nodes know the new ones", func() bool { return d.takingTurns(nodes + 2) })
			time.Sleep(discoveryTime + 2*memberTickInterval)
			d.wantTurns(t, "after two more have started")
			d.nodes[0].server.close()
			d.nodes = d.nodes[1:]
			d.await("the nodes know that one has ended", func() bool { return d.takingTurns(nodes + 1) })
			time.Sleep(2 * memberTickInterval)
			d.wantTurns(t, "after one has ended")
		})
	}
}

// wantTurns checks that the reads of a configuration that wait, and those that follow them, end one
// after the other, so that no time without an end is longer than a turn.
func (d *deployment) wantTurns(t *testing.T, when string) {
	t.Helper()
	last := time.Now()
	for _, end := range d.configReadEnds() {
		if gap := end.Sub(last); gap > configTurn+minConfigWait {
			t.Errorf("%s, no read ends for %s, want at most %s", when, gap, configTurn+minConfigWait)
		}
		last = end
	}
}

// configReadEnds returns, in order, when the reads that wait for a configuration end, and the next
// ones of the same nodes, until the last of those that wait ends.
func (d *deployment) configReadEnds() []time.Time {
	var ends []time.Time
	var last time.Time
	for _, n := range d.nodes {
		n.server.mu.Lock()
		first := n.server.streamState(infra.StreamConfig).waitsUntil
		rank, nodes := n.server.configRank()
		n.server.mu.Unlock()
		ends = append(ends, first, first.Add(untilTurn(first, rank, nodes)))
		last = laterOf(last, first)
	}
	slices.SortFunc(ends, time.Time.Compare)
	return slices.DeleteFunc(ends, last.Before)
}
