package member

import (
	"teaselplank/evac"
	"teaselplank/limit"
	"teaselplank/peerpb"
)

// Message converts the digest to its protocol message.
func (d Digest) Message() *peerpb.DigestMessage {
	m := &peerpb.DigestMessage{From: d.From.message()}
	for _, n := range d.Nodes {
		m.Nodes = append(m.Nodes, n.message())
	}
	for _, k := range d.Marks {
		m.Marks = append(m.Marks, &peerpb.MarkMessage{Host: k.Host, Incarnation: k.Incarnation})
	}
	for _, l := range d.Limits {
		m.Limits = append(m.Limits, &peerpb.LimitMessage{
			Upstream: l.Process.ID, Born: l.Process.Born, Rate: l.Rate, Ended: l.Ended, Version: l.Version,
		})
	}
	for _, l := range d.Paces {
		m.Paces = append(m.Paces, &peerpb.PaceMessage{
			Upstream: l.Process.ID, Born: l.Process.Born, Rate: l.Rate, Ended: l.Ended, Version: l.Version,
		})
	}
	for _, s := range d.Evacuations {
		m.Evacuations = append(m.Evacuations, &peerpb.EvacuationMessage{Zone: s.Zone, Evacuated: s.Evacuated, Epoch: s.Epoch, Offset: s.Offset})
	}
	return m
}

func (n Node) message() *peerpb.NodeMessage {
	m := &peerpb.NodeMessage{
		Id: n.ID, Incarnation: n.Incarnation, Addr: n.Addr, Zone: n.Zone, Beat: n.Heartbeat,
		Processor: n.Processor,
		Leaving:   n.Leaving, Version: n.Version, Rates: make(map[string]float32, len(n.Rates)),
	}
	for key, rate := range n.Rates {
		m.Rates[key] = float32(rate)
	}
	return m
}

// DigestFromMessage converts a protocol message to a digest.
func DigestFromMessage(m *peerpb.DigestMessage) Digest {
	d := Digest{From: nodeFromMessage(m.GetFrom())}
	for _, n := range m.GetNodes() {
		d.Nodes = append(d.Nodes, nodeFromMessage(n))
	}
	for _, k := range m.GetMarks() {
		d.Marks = append(d.Marks, Mark{Host: k.GetHost(), Incarnation: k.GetIncarnation()})
	}
	for _, l := range m.GetLimits() {
		d.Limits = append(d.Limits, limit.Limit{
			Process: limit.Process{ID: l.GetUpstream(), Born: l.GetBorn()}, Rate: l.GetRate(), Ended: l.GetEnded(), Version: l.GetVersion(),
		})
	}
	for _, l := range m.GetPaces() {
		d.Paces = append(d.Paces, limit.Limit{
			Process: limit.Process{ID: l.GetUpstream(), Born: l.GetBorn()}, Rate: l.GetRate(), Ended: l.GetEnded(), Version: l.GetVersion(),
		})
	}
	for _, s := range m.GetEvacuations() {
		d.Evacuations = append(d.Evacuations, evac.State{Zone: s.GetZone(), Evacuated: s.GetEvacuated(), Epoch: s.GetEpoch(), Offset: s.GetOffset()})
	}
	return d
}

func nodeFromMessage(m *peerpb.NodeMessage) Node {
	n := Node{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Addr: m.GetAddr(), Zone: m.GetZone(),
		Heartbeat: m.GetBeat(), Leaving: m.GetLeaving(), Version: m.GetVersion(),
		Processor: m.GetProcessor(),
	}
	if len(m.GetRates()) > 0 {
		n.Rates = make(map[string]float64, len(m.GetRates()))
	}
	for key, rate := range m.GetRates() {
		n.Rates[key] = float64(rate)
	}
	return n
}
