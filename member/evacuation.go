package member

import "teaselplank/evac"

// maxEvacuations bounds the evacuations in one digest.
const maxEvacuations = 16

// readEvacuations records the operator's records that this node has read.
func (g *Group) readEvacuations(p evac.Page) {
	before := g.evacuatedZones()
	g.spreadEvacuations(before, g.evacuations.Read(p))
}

// learnEvacuations records what another node knows of evacuations.
func (g *Group) learnEvacuations(states []evac.State) {
	if len(states) == 0 {
		return
	}
	var news []evac.State
	before := g.evacuatedZones()
	for _, s := range states {
		if s, ok := g.evacuations.Learn(s); ok {
			news = append(news, s)
		}
	}
	g.spreadEvacuations(before, news)
}

// spreadEvacuations reports zones whose evacuation has begun or ended, and sends what is new
// to other nodes. A new version of what is known spreads with the next rounds.
func (g *Group) spreadEvacuations(before map[string]bool, news []evac.State) {
	var changed []evac.State
	for _, s := range news {
		if now := g.evacuations.State(s.Zone); now == s && s.Evacuated != before[s.Zone] {
			changed = append(changed, s)
			g.emit(EvacuationChanged{s})
		}
	}
	if len(changed) > 0 {
		g.spread(Digest{From: g.self, Evacuations: changed[:min(len(changed), maxEvacuations)]})
	}
}

func (g *Group) evacuatedZones() map[string]bool {
	zones := make(map[string]bool)
	for _, zone := range g.evacuations.Zones() {
		zones[zone] = true
	}
	return zones
}

// evacuationWindow returns some of what is known of evacuations. Repeated calls return all in
// turn.
func (g *Group) evacuationWindow() []evac.State {
	all := g.evacuations.All()
	var window []evac.State
	for i := range min(maxEvacuations, len(all)) {
		window = append(window, all[(g.evacuationOffset+i)%len(all)])
	}
	if len(all) > 0 {
		g.evacuationOffset = (g.evacuationOffset + maxEvacuations) % len(all)
	}
	return window
}

// Evacuations returns what is known of the evacuations of zones, also of those that have ended.
func (g *Group) Evacuations() []evac.State { return g.evacuations.All() }

// EvacuatedZones returns the zones that are evacuated, sorted.
func (g *Group) EvacuatedZones() []string { return g.evacuations.Zones() }
