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

// A task is a periodic task of the node.
type task int

const (
	taskHosts task = iota
	taskRules
	taskLoads
	taskLedger
	taskAnnounce
	taskCheckpoint
	taskOrders
)

// announceInterval is the interval between updates of what a node announces to its peers,
// and checkpointInterval the interval between checks whether a checkpoint is due.
const (
	announceInterval   = 500 * time.Millisecond
	checkpointInterval = 5 * time.Second
)

func (n *Node) scheduleTasks(now time.Time) {
	n.ruleSet = n.replica.Set()
	for t := taskHosts; t <= taskOrders; t++ {
		n.timers.Add(now, t)
	}
}

// runTasks runs the tasks that are due.
func (n *Node) runTasks(now time.Time) {
	for {
		t, ok := n.timers.Pop(now)
		if !ok {
			return
		}
		n.timers.Add(now.Add(n.runTask(now, t)), t)
	}
}

// runTask runs a task and returns the delay until its next run.
func (n *Node) runTask(now time.Time, t task) time.Duration {
	switch t {
	case taskHosts:
		n.emit(ListHosts{})
		return n.config.Poll.Hosts
	case taskRules:
		n.emit(ReadStream{rules.Stream, n.replica.Next()})
		return n.config.Poll.Rules
	case taskLoads:
		return n.queryLoads(now)
	case taskLedger:
		return n.pollLedger()
	case taskOrders:
		return n.sendOrders(now)
	case taskAnnounce:
		n.announce(now)
		return announceInterval
	}
	n.checkpoint(now)
	return checkpointInterval
}

// queryLoads queries the load of some of the workers that this node uses. It returns
// the delay until the next query.
func (n *Node) queryLoads(now time.Time) time.Duration {
	rate := max(n.config.Poll.LoadsPerSecond, 1)
	period := n.config.Poll.Loads / 2
	count := max(int(float64(rate)*period.Seconds()), 1)
	for _, w := range n.table.WorkersToPoll(now, n.config.Poll.Loads, count) {
		n.emit(QueryLoad{Host: w.Host()})
	}
	n.table.SetPollInterval(time.Duration(n.table.UsedCount()) * time.Second / time.Duration(rate))
	return period
}

// pollLedger reads the shards that this node follows: the shards that it owns and those
// of its active attempts, or all shards while there are too few nodes for owners.
func (n *Node) pollLedger() time.Duration {
	live := n.group.Live()
	followAll := len(live) < n.config.OwnersFrom
	for shard := range n.config.Ledger.Shards {
		if !followAll && !n.ledger.HasAttempts(shard) && n.shardOwner(shard, live).ID != n.group.Self().ID {
			continue
		}
		if read, ok := n.ledger.Poll(shard); ok {
			n.emit(read)
		}
	}
	if n.ledger.ActiveAttempts() > 0 {
		return n.config.Poll.LedgerBusy
	}
	return n.config.Poll.Ledger
}

// announce updates what this node announces to its peers. It also passes the rates of
// the peers to the runner and adapts to the number of nodes.
func (n *Node) announce(now time.Time) {
	n.stepMember(now, member.SelfUpdated{Version: n.replica.Version(), Rates: n.runner.Rates(now)})
	var peerRates []pipe.Rates
	nodes := 1
	for _, p := range n.group.Peers() {
		if p.State() == member.Dead {
			continue
		}
		nodes++
		peerRates = append(peerRates, p.Node().Rates)
	}
	weights := make(map[string]int, len(n.ruleSet.Accounts))
	for name, a := range n.ruleSet.Accounts {
		weights[name] = a.Weight
	}
	n.runner.SetPeerRates(peerRates, weights)
	n.table.SetNodes(nodes)
	writers := min(nodes, max(n.config.OwnersFrom, 1))
	rate := max(n.config.AppendsPerSecond/(writers*n.config.Ledger.Shards), 1)
	interval := max(time.Second/time.Duration(rate), n.config.Ledger.AppendInterval)
	n.stepLedger(now, ledger.SetAppendInterval{AppendInterval: interval})
}

// hostsChanged updates the workers and the requests after a change of the host list.
func (n *Node) hostsChanged(now time.Time) {
	n.table.Update(n.group.Upstreams())
	n.handlePipeEffects(now, n.runner.Refresh(now))
}

func (n *Node) loadReported(now time.Time, e LoadReported) {
	n.table.Report(now, e.Host, e.Load)
	if w, ok := n.table.Worker(e.Host); ok && e.Load.Leaving {
		n.stepMember(now, member.MarkObserved{Mark: member.Mark{Host: e.Host, Incarnation: w.Host().Incarnation}})
	}
}

// streamRead applies a page of a stream.
func (n *Node) streamRead(now time.Time, e StreamRead) {
	if e.Stream == lease.Stream {
		n.leases.Fold(e.Page)
		return
	}
	n.foldRules(now, e.Page)
}

// foldRules applies a page of the rules stream and requests the next page, if any.
func (n *Node) foldRules(now time.Time, page wire.Page) {
	n.replica.Fold(page)
	if page.End > n.replica.Next() && len(page.Records) > 0 {
		n.emit(ReadStream{rules.Stream, n.replica.Next()})
	}
	n.applyRules(now)
}

// applyRules puts a new version of the rules into force.
func (n *Node) applyRules(now time.Time) {
	if n.ruleSet == n.replica.Set() {
		return
	}
	n.ruleSet = n.replica.Set()
	if n.config.ApplyPolicyRule {
		p := n.ruleSet.Policy
		n.runner.Configure(p.RetryPercent, p.Hedge, p.Admission)
	}
	n.stepMember(now, member.SelfUpdated{Version: n.replica.Version(), Rates: n.runner.Rates(now)})
}

// peerFetchDelay is how long a node with old rules waits for the log before it fetches
// the state of a peer, which is much larger than the missing records.
const peerFetchDelay = 3 * time.Second

// catchUp updates the rules when a peer has newer ones. It reads them from the log, or
// from the peer if the log does not deliver them in time. A node without rules or hosts
// asks the peer at once.
func (n *Node) catchUp(now time.Time, d member.Digest) {
	incomplete := !n.replica.Initialized() || !n.hostsListed
	if d.From.Version <= n.replica.Version() && !incomplete {
		n.behindSince = time.Time{}
		return
	}
	if n.behindSince.IsZero() {
		n.behindSince = now
		n.emit(ReadStream{rules.Stream, n.replica.Next()})
	}
	overdue := now.Sub(n.behindSince) >= peerFetchDelay
	if (overdue || incomplete) && !n.fetching && d.From.ID != "" {
		n.fetching = true
		n.emit(FetchState{Addr: d.From.Addr})
	}
}

// stateFetched applies the state of a peer. An empty state only ends the fetch.
func (n *Node) stateFetched(now time.Time, e StateFetched) {
	n.fetching = false
	if e.Rules != nil && n.replica.Adopt(e.Rules) {
		n.applyRules(now)
	}
	if !n.hostsListed && len(e.Hosts) > 0 {
		n.stepMember(now, member.HostsListed{Hosts: e.Hosts})
	}
}

// checkpoint appends a snapshot of the rules while the log still has the records that
// the rules are built from. The delay grows with the rank of the node among the live
// nodes, so that usually only one of them appends.
func (n *Node) checkpoint(now time.Time) {
	if n.lastCheckpoint.IsZero() {
		n.lastCheckpoint = now
	}
	last := n.replica.LastCheckpoint()
	if last.Before(n.lastCheckpoint) {
		last = n.lastCheckpoint
	}
	rank := 0
	for i, node := range n.group.Live() {
		if node.ID == n.group.Self().ID {
			rank = i
		}
	}
	due := last.Add(n.config.Retention/4 + time.Duration(rank)*checkpointInterval*2)
	if now.Before(due) || !n.replica.Synced() || n.replica.Version() == 0 {
		return
	}
	data, err := rules.EncodeCheckpoint(n.replica.Snapshot())
	if err != nil {
		return
	}
	n.lastCheckpoint = now
	n.emit(AppendStream{rules.Stream, data})
}
