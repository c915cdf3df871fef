package core

import (
	"time"

	"teaselplank/lease"
	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/rules"
	"teaselplank/wire"
)

// A job is something that the node does by itself from time to time.
type job int

const (
	jobHosts job = iota
	jobRules
	jobLoads
	jobLedger
	jobTell
	jobCheckpoint
	jobOrders
)

// tellEvery is how often a node works out what it tells the others of itself,
// and checkpointEvery how often it looks whether a checkpoint is due.
const (
	tellEvery       = 500 * time.Millisecond
	checkpointEvery = 5 * time.Second
)

func (n *Node) schedule(now time.Time) {
	n.set = n.book.Set()
	for j := jobHosts; j <= jobOrders; j++ {
		n.timers.Add(now, j)
	}
}

// runJobs does the jobs that are due.
func (n *Node) runJobs(now time.Time) {
	for {
		j, ok := n.timers.Pop(now)
		if !ok {
			return
		}
		n.timers.Add(now.Add(n.do(now, j)), j)
	}
}

// do does a job and returns when it is due again.
func (n *Node) do(now time.Time, j job) time.Duration {
	switch j {
	case jobHosts:
		n.emit(ListHosts{})
		return n.config.Poll.Hosts
	case jobRules:
		n.emit(ReadStream{rules.Stream, n.book.Next()})
		return n.config.Poll.Rules
	case jobLoads:
		return n.askLoads(now)
	case jobLedger:
		return n.pollLedger()
	case jobOrders:
		return n.giveOrders(now)
	case jobTell:
		n.tell(now)
		return tellEvery
	}
	n.checkpoint(now)
	return checkpointEvery
}

// askLoads asks some of the workers that this node uses for their load. It
// returns when the next are due.
func (n *Node) askLoads(now time.Time) time.Duration {
	rate := max(n.config.Poll.LoadsPerSecond, 1)
	period := n.config.Poll.Loads / 2
	count := max(int(float64(rate)*period.Seconds()), 1)
	for _, w := range n.table.Ask(now, n.config.Poll.Loads, count) {
		n.emit(AskLoad{Host: w.Host()})
	}
	n.table.SetPace(time.Duration(n.table.UsedCount()) * time.Second / time.Duration(rate))
	return period
}

// pollLedger reads the shards that this node follows.
func (n *Node) pollLedger() time.Duration {
	live := n.group.Live()
	all := len(live) < n.config.OwnersFrom
	for shard := range n.config.Ledger.Shards {
		if !all && !n.ledger.Waiting(shard) && n.owner(shard, live).ID != n.group.Self().ID {
			continue
		}
		if read, ok := n.ledger.Poll(shard); ok {
			n.emit(read)
		}
	}
	if n.ledger.Open() > 0 {
		return n.config.Poll.LedgerBusy
	}
	return n.config.Poll.Ledger
}

// tell works out what this node tells the others, and takes in the sums of what
// they have told.
func (n *Node) tell(now time.Time) {
	n.stepMember(now, member.SelfUpdated{Version: n.book.Version(), Rates: n.runner.Rates(now)})
	var others []pipe.Rates
	nodes := 1
	for _, p := range n.group.Peers() {
		if p.State() == member.Dead {
			continue
		}
		nodes++
		others = append(others, p.Node().Rates)
	}
	weights := make(map[string]int, len(n.set.Accounts))
	for name, a := range n.set.Accounts {
		weights[name] = a.Weight
	}
	n.runner.SetOthers(others, weights)
	n.table.SetNodes(nodes)
	writers := min(nodes, max(n.config.OwnersFrom, 1))
	share := max(n.config.AppendsPerSecond/(writers*n.config.Ledger.Shards), 1)
	interval := max(time.Second/time.Duration(share), n.config.Ledger.AppendInterval)
	n.stepLedger(now, ledger.Tune{AppendInterval: interval})
}

// hostsChanged gives the parts the hosts as they are now known.
func (n *Node) hostsChanged(now time.Time) {
	n.table.Update(n.group.Upstreams())
	n.takePipe(now, n.runner.Refresh(now))
}

func (n *Node) load(now time.Time, e Load) {
	n.table.Report(now, e.Host, e.Load)
	if w, ok := n.table.Worker(e.Host); ok && e.Load.Leaving {
		n.stepMember(now, member.MarkObserved{Mark: member.Mark{Host: e.Host, Incarnation: w.Host().Incarnation}})
	}
}

// streamRead folds a page of a stream.
func (n *Node) streamRead(now time.Time, e StreamRead) {
	if e.Stream == lease.Stream {
		n.leases.Fold(e.Page)
		return
	}
	n.rulesRead(now, e.Page)
}

// rulesRead folds a page of the rules stream.
func (n *Node) rulesRead(now time.Time, page wire.Page) {
	n.book.Fold(page)
	if page.End > n.book.Next() && len(page.Records) > 0 {
		n.emit(ReadStream{rules.Stream, n.book.Next()})
	}
	n.rulesChanged(now)
}

// rulesChanged puts a new version of the rules in force.
func (n *Node) rulesChanged(now time.Time) {
	if n.set == n.book.Set() {
		return
	}
	n.set = n.book.Set()
	if n.config.FollowRules {
		p := n.set.Policy
		n.runner.Configure(p.Retry, p.Hedge, p.Admission)
	}
	n.stepMember(now, member.SelfUpdated{Version: n.book.Version(), Rates: n.runner.Rates(now)})
}

// logPatience is how long a node that is behind waits for the log before it asks
// a peer, whose whole state is much larger than the records that are missing.
const logPatience = 3 * time.Second

// heardVersion brings the node up to a peer's newer rules: from the log, or from
// the peer where the log does not bring them.
func (n *Node) heardVersion(now time.Time, d member.Digest) {
	waiting := !n.book.Known() || !n.listed
	if d.From.Version <= n.book.Version() && !waiting {
		n.behindSince = time.Time{}
		return
	}
	if n.behindSince.IsZero() {
		n.behindSince = now
		n.emit(ReadStream{rules.Stream, n.book.Next()})
	}
	late := now.Sub(n.behindSince) >= logPatience
	if (late || waiting) && !n.fetching && d.From.ID != "" {
		n.fetching = true
		n.emit(FetchState{Addr: d.From.Addr})
	}
}

// stateFetched takes in what a peer knows. An empty state ends the wait only.
func (n *Node) stateFetched(now time.Time, e StateFetched) {
	n.fetching = false
	if e.Rules != nil && n.book.Adopt(e.Rules) {
		n.rulesChanged(now)
	}
	if !n.listed && len(e.Hosts) > 0 {
		n.stepMember(now, member.HostsListed{Hosts: e.Hosts})
	}
}

// checkpoint appends the state of the rules while the log still has the records
// that it stems from. The live nodes take turns by rank, so that usually one of
// them does it.
func (n *Node) checkpoint(now time.Time) {
	if n.checkpointAt.IsZero() {
		n.checkpointAt = now
	}
	last := n.book.Checkpointed()
	if last.Before(n.checkpointAt) {
		last = n.checkpointAt
	}
	rank := 0
	for i, node := range n.group.Live() {
		if node.ID == n.group.Self().ID {
			rank = i
		}
	}
	due := last.Add(n.config.Retention/4 + time.Duration(rank)*checkpointEvery*2)
	if now.Before(due) || !n.book.Synced() || n.book.Version() == 0 {
		return
	}
	data, err := rules.EncodeCheckpoint(n.book.Snapshot())
	if err != nil {
		return
	}
	n.checkpointAt = now
	n.emit(AppendStream{rules.Stream, data})
}
