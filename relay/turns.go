package relay

import (
	"time"

	"teaselplank/infra"
	"teaselplank/member"
)

const (
	// configTurn is the time between the ends of two reads of the configuration that wait in vain,
	// of all nodes together. A read may miss a change, if the store was silent or slow for a
	// moment; the next one finds it, and its node tells the others.
	configTurn = 15 * time.Second / 7
	// maxConfigTurns bounds the number of turns that a read waits, as the store lets none wait
	// for longer than 30 s.
	maxConfigTurns = 13
	// minConfigWait is the least time that a read waits, so that one which ends a little before
	// its turn is not followed by another one at once.
	minConfigWait = configTurn / 8
	// discoveryTime is how long after its start a node may still learn of most others.
	discoveryTime = 2 * time.Second
	// sharedTurns is the number of nodes from which on each turn has two nodes or more, so that
	// one that ends leaves no turn without a read.
	sharedTurns = 2 * maxConfigTurns
)

// untilTurn returns how long a read of the configuration waits for a change, at the node with a
// rank from 0 among a number of nodes: until the next turn of its rank. The turns follow the time
// of day at the nodes' starts, since nodes share no other clock. If those differ, turns coincide,
// which only delays the discovery of a change that was missed.
func untilTurn(now time.Time, rank, nodes int) time.Duration {
	turns := min(max(nodes, 1), maxConfigTurns)
	period := time.Duration(turns) * configTurn
	turn := time.Duration(rank%turns) * configTurn
	wait := (turn - time.Duration(now.UnixNano())%period + period) % period
	if wait < minConfigWait {
		wait += period
	}
	return wait
}

// configWait returns how long a read waits for a change of the configuration. While the node may
// not know the others yet, that is not its turn, but until it does.
func (s *Server) configWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.untilConfigTurn()
	if left := discoveryTime - s.uptime(); left > 0 {
		wait = min(wait, max(left, minConfigWait))
	}
	return wait
}

// untilConfigTurn returns the time until this node's next turn in reading the configuration. The
// lock must be held.
func (s *Server) untilConfigTurn() time.Duration {
	rank, nodes := s.configRank()
	return untilTurn(s.now(), rank, nodes)
}

// configRank returns the rank of this node among those that take turns, and their number. Suspect
// nodes take none, as one that has ended counts as suspect long before it counts as dead. The lock
// must be held.
func (s *Server) configRank() (rank, nodes int) {
	nodes = 1
	for _, p := range s.group.Peers() {
		if p.State() != member.Live {
			continue
		}
		nodes++
		if p.Node().ID < s.self.ID {
			rank++
		}
	}
	return rank, nodes
}

// keepConfigTurn sends the read of the configuration again if it waits for longer than until the
// node's turn, which changes with the nodes: no read would end in that turn otherwise. The lock
// must be held.
func (s *Server) keepConfigTurn() {
	if s.countNodes() >= sharedTurns || s.uptime() < discoveryTime {
		return
	}
	state := s.streamState(infra.StreamConfig)
	turn := s.now().Add(s.untilConfigTurn())
	if state.waitsUntil.After(turn.Add(minConfigWait)) {
		state.cancelRead()
	}
}

// spreadConfig tells other nodes at once which version is in force here, as their reads are likely
// to have missed it, too.
func (s *Server) spreadConfig() { s.memberStep(member.SelfSpread{}) }

// configLearned handles a newer version that another node has sent. The read of this node has
// missed it and may miss the next one, so that it is sent again.
func (s *Server) configLearned() {
	s.mu.Lock()
	s.streamState(infra.StreamConfig).cancelRead()
	s.mu.Unlock()
	s.spreadConfig()
}
