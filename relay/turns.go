package relay

import (
	"slices"
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

// configWait returns how long a read waits for a change of the configuration.
func (s *Server) configWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.group.Live()
	rank := slices.IndexFunc(live, func(n member.Node) bool { return n.ID == s.self.ID })
	return untilTurn(s.now(), max(rank, 0), len(live))
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
