package flow

import "time"

const (
	// delayLife is how long what an owner says of its service is believed.
	delayLife = 2 * time.Second
	// firstDefault is the time to the first event where none was seen yet.
	firstDefault = 150 * time.Millisecond
)

// stageTime estimates how long a stage takes from when its inputs are there.
func (n *Node) stageTime(now time.Time, r *request, stage int) time.Duration {
	service := n.table.Service(r.route.Stages[stage].Service)
	if service == nil || service.Batch == nil {
		return 0
	}
	b := service.Batch
	least := b.CallTime + time.Duration(min(r.pieces(stage), b.MaxItems))*b.ItemTime
	d, ok := n.delays[service.Name]
	if !ok || now.Sub(d.heard) > delayLife {
		return least
	}
	return max(least, d.value)
}

// firstTime estimates the time from sending a request to its first event.
func (n *Node) firstTime(r *request) time.Duration {
	if first, ok := n.first[r.route.Name]; ok {
		return first
	}
	return firstDefault
}

// after estimates how long a request takes once a stage is done.
func (n *Node) after(now time.Time, r *request, stage int) time.Duration {
	longest := n.firstTime(r)
	for i, s := range r.route.Stages {
		if r.pieces(i) == 0 {
			continue
		}
		for _, before := range s.After {
			if before == stage {
				longest = max(longest, n.stageTime(now, r, i)+n.after(now, r, i))
			}
		}
	}
	return longest
}

// predict estimates how long a request takes that has nothing done yet.
func (n *Node) predict(now time.Time, r *request) time.Duration {
	longest := time.Duration(0)
	for i, s := range r.route.Stages {
		if r.pieces(i) > 0 && len(s.After) == 0 {
			longest = max(longest, n.stageTime(now, r, i)+n.after(now, r, i))
		}
	}
	return longest
}

// shortest is how long a request takes at the least.
func (n *Node) shortest(r *request) time.Duration {
	var longest time.Duration
	for i := range r.route.Stages {
		service := n.table.Service(r.route.Stages[i].Service)
		if r.pieces(i) > 0 && service != nil && service.Batch != nil {
			longest += service.Batch.CallTime
		}
	}
	return longest
}

// excess returns by how much a request would miss its objective, or 0 if it is
// likely to meet it. Only stages make requests wait so long that it can be told.
func (n *Node) excess(now time.Time, r *request) time.Duration {
	if len(r.stages) == 0 {
		return 0
	}
	return max(now.Add(n.predict(now, r)).Sub(r.due), 0)
}
