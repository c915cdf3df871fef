package core

import (
	"maps"
	"sort"
	"time"

	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/wire"
)

// A Dump is a snapshot of the state of a node. It contains no credentials and no
// bodies. Its lists are sorted, so that two dumps can be compared.
type Dump struct {
	Time         time.Time              `json:"time"`
	Node         member.Node            `json:"node"`
	Ready        bool                   `json:"ready"`
	Reason       string                 `json:"reason,omitempty"`
	Events       int64                  `json:"events"`
	Arrived      int64                  `json:"arrived"`
	Outcomes     map[wire.Outcome]int64 `json:"outcomes"`
	RulesVersion int64                  `json:"rules_version"`
	RulesNext    int64                  `json:"rules_next"`
	Rules        []string               `json:"rules"`
	Peers        []PeerDump             `json:"peers"`
	Workers      []WorkerDump           `json:"workers"`
	Calls        []CallDump             `json:"calls"`
	Pipe         pipe.Counts            `json:"pipe"`
	Ledger       ledger.Counts          `json:"ledger"`
	Shards       []ledger.ShardDump     `json:"shards"`
}

// A PeerDump is the view of another node.
type PeerDump struct {
	Node          member.Node  `json:"node"`
	State         member.State `json:"state"`
	LastHeartbeat time.Time    `json:"heard"`
}

// A WorkerDump is the view of an upstream.
type WorkerDump struct {
	Host     wire.Host `json:"host"`
	InFlight int       `json:"flight"`
	Limit    float64   `json:"limit"`
	Suspect  bool      `json:"suspect"`
	Leaving  bool      `json:"leaving"`
}

// A CallDump is a call in flight.
type CallDump struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	Pipeline string    `json:"pipeline,omitempty"`
	Service  string    `json:"service,omitempty"`
	Key      string    `json:"key,omitempty"`
	Deadline time.Time `json:"deadline"`
	Replied  bool      `json:"replied"`
}

// Dump returns a snapshot of the state of the node.
func (n *Node) Dump(now time.Time) Dump {
	d := Dump{
		Time: now, Node: n.group.Self(), Ready: n.Ready(), Reason: n.Unready(),
		Events: n.counts.Events, Arrived: n.counts.Arrived, Outcomes: maps.Clone(n.counts.Outcomes),
		RulesVersion: n.replica.Version(), RulesNext: n.replica.Next(),
		Pipe: n.runner.Counts(), Ledger: n.ledger.Counts(), Shards: n.ledger.Dump(),
	}
	if lines, ok := n.replica.At(n.replica.Version()); ok {
		for _, line := range lines {
			d.Rules = append(d.Rules, line.Text)
		}
	}
	sort.Strings(d.Rules)
	for _, p := range n.group.Peers() {
		d.Peers = append(d.Peers, PeerDump{p.Node(), p.State(), p.LastHeartbeat()})
	}
	for _, p := range n.table.Pools() {
		for _, w := range p.Workers() {
			d.Workers = append(d.Workers, WorkerDump{w.Host(), w.InFlight(), w.Limit(), w.Suspect(now), w.Leaving()})
		}
	}
	sort.Slice(d.Workers, func(i, j int) bool { return d.Workers[i].Host.ID < d.Workers[j].Host.ID })
	for _, c := range n.calls {
		d.Calls = append(d.Calls, CallDump{
			c.call.ID, c.call.Account, c.call.Pipeline, c.call.Service, c.call.Key, c.deadline, c.replied,
		})
	}
	sort.Slice(d.Calls, func(i, j int) bool { return d.Calls[i].ID < d.Calls[j].ID })
	return d
}
