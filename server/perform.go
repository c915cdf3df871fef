package server

import (
	"context"
	"time"

	"teaselplank/core"
	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/rules"
	"teaselplank/wire"
)

// perform starts what an effect asks for. It never blocks.
func (s *Server) perform(effect core.Effect) {
	switch e := effect.(type) {
	case core.Reply:
		s.reply(e)
	case pipe.Call:
		s.startCall(e)
	case pipe.Cancel:
		go s.cancelCall(e)
	case ledger.Append:
		go s.appendBatch(e)
	case ledger.Read:
		go s.readShard(e)
	case ledger.Lookup:
		go s.lookup(e)
	case member.Gossip:
		go s.gossip(e)
	case core.Forward:
		go s.forward(e)
	case core.ReadRules:
		go s.readRules(e)
	case core.AppendRules:
		go s.appendRules(e)
	case core.FetchState:
		go s.fetchState(e)
	case core.ListHosts:
		go s.listHosts()
	case core.AskLoad:
		go s.askLoad(e.Host)
	}
}

// platformContext bounds a call to the platform.
func (s *Server) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.context, s.settings.PlatformTimeout)
}

func (s *Server) appendBatch(e ledger.Append) {
	ctx, cancel := s.platformContext()
	defer cancel()
	data, err := ledger.EncodeBatch(e.Entries)
	if err == nil {
		var offset int64
		offset, err = s.log.Append(ctx, ledger.Stream(e.Shard), data)
		if err == nil {
			s.Post(ledger.Appended{Shard: e.Shard, Batch: e.Batch, Offset: offset})
			return
		}
	}
	s.metrics.platformFailure("append")
	s.Post(ledger.AppendFailed{Shard: e.Shard, Batch: e.Batch})
}

func (s *Server) readShard(e ledger.Read) {
	ctx, cancel := s.platformContext()
	defer cancel()
	page, err := s.log.Read(ctx, ledger.Stream(e.Shard), e.From)
	if err != nil {
		s.metrics.platformFailure("read")
		s.Post(ledger.ReadFailed{Shard: e.Shard})
		return
	}
	s.Post(ledger.Folded{Shard: e.Shard, Page: page})
}

func (s *Server) readRules(e core.ReadRules) {
	ctx, cancel := s.platformContext()
	defer cancel()
	page, err := s.log.Read(ctx, rules.Stream, e.From)
	if err != nil {
		s.metrics.platformFailure("read")
		return
	}
	s.Post(core.RulesRead{Page: page})
}

func (s *Server) appendRules(e core.AppendRules) {
	ctx, cancel := s.platformContext()
	defer cancel()
	if _, err := s.log.Append(ctx, rules.Stream, e.Data); err != nil {
		s.metrics.platformFailure("append")
		s.logger.Warn("checkpoint of the rules not confirmed", "error", err)
	}
}

func (s *Server) listHosts() {
	ctx, cancel := s.platformContext()
	defer cancel()
	hosts, err := s.hosts.Hosts(ctx)
	if err != nil {
		s.metrics.platformFailure("hosts")
		return
	}
	s.Post(member.Listed{Hosts: hosts})
}

// loadTimeout bounds the question for an upstream's load.
const loadTimeout = 500 * time.Millisecond

func (s *Server) askLoad(h wire.Host) {
	ctx, cancel := context.WithTimeout(s.context, loadTimeout)
	defer cancel()
	load, err := s.upstreams.load(ctx, h)
	if err != nil {
		s.metrics.upstreamFailure(h.Pool, "load")
		return
	}
	s.Post(core.Load{Host: h.ID, Load: load})
}

// lookup asks every upstream of the service for the status of a key. The key
// counts as not seen only when all of them say so.
func (s *Server) lookup(e ledger.Lookup) {
	var hosts []wire.Host
	s.Query(func(n *core.Node) { hosts = n.LookupHosts(e.Attempt) })
	ctx, cancel := context.WithTimeout(s.context, s.settings.PlatformTimeout)
	defer cancel()
	found := ledger.LookedUp{Attempt: e.Attempt, Failed: len(hosts) == 0}
	for _, h := range hosts {
		status, err := s.upstreams.status(ctx, h, e.Key.ID, e.Number)
		if err != nil {
			s.metrics.upstreamFailure(h.Pool, "lookup")
			found.Failed = true
			break
		}
		if status.Finished || status.Seen && !found.Status.Finished {
			found.Status = status
		}
	}
	s.Post(found)
}
