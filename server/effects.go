package server

import (
	"context"
	"time"

	"teaselplank/core"
	"teaselplank/ledger"
	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/wire"
)

// perform starts the operation of an effect. It never blocks.
func (s *Server) perform(effect core.Effect) {
	switch e := effect.(type) {
	case core.Reply:
		s.deliver(e)
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
	case core.ReadStream:
		go s.readStream(e)
	case core.AppendStream:
		go s.appendStream(e)
	case core.QueryModel:
		go s.queryModel(e.Host)
	case core.SendOrder:
		go s.sendOrder(e)
	case core.FetchState:
		go s.fetchState(e)
	case core.ListHosts:
		go s.listHosts()
	case core.QueryLoad:
		go s.queryLoad(e.Host)
	}
}

// platformContext returns a context with the timeout of a call to the platform.
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
	s.metrics.countPlatformFailure("append")
	s.Post(ledger.AppendFailed{Shard: e.Shard, Batch: e.Batch})
}

func (s *Server) readShard(e ledger.Read) {
	ctx, cancel := s.platformContext()
	defer cancel()
	page, err := s.log.Read(ctx, ledger.Stream(e.Shard), e.From)
	if err != nil {
		s.metrics.countPlatformFailure("read")
		s.Post(ledger.ReadFailed{Shard: e.Shard})
		return
	}
	s.Post(ledger.PageRead{Shard: e.Shard, Page: page})
}

func (s *Server) readStream(e core.ReadStream) {
	ctx, cancel := s.platformContext()
	defer cancel()
	page, err := s.log.Read(ctx, e.Stream, e.From)
	if err != nil {
		s.metrics.countPlatformFailure("read")
		return
	}
	s.Post(core.StreamRead{Stream: e.Stream, Page: page})
}

func (s *Server) appendStream(e core.AppendStream) {
	ctx, cancel := s.platformContext()
	defer cancel()
	if _, err := s.log.Append(ctx, e.Stream, e.Data); err != nil {
		s.metrics.countPlatformFailure("append")
	}
}

func (s *Server) queryModel(h wire.Host) {
	ctx, cancel := context.WithTimeout(s.context, loadTimeout)
	defer cancel()
	var loaded wire.LoadedModel
	if err := getJSON(ctx, s.upstreams.shared, h, "/model", nil, &loaded); err != nil {
		s.metrics.countUpstreamFailure(h.Pool, "model")
		return
	}
	s.Post(core.ModelReported{Host: h, Loaded: loaded})
}

// orderTimeout is the timeout for an engine to accept an order. Executing the order takes
// longer; queryModel reveals when it is done.
const orderTimeout = 5 * time.Second

func (s *Server) sendOrder(e core.SendOrder) {
	ctx, cancel := context.WithTimeout(s.context, orderTimeout)
	defer cancel()
	if err := s.upstreams.sendOrder(ctx, e.Host, e.Order); err != nil {
		s.metrics.countUpstreamFailure(e.Host.Pool, "order")
		return
	}
	s.logger.Info("engine accepted order", "host", e.Host.ID, "model", e.Order.Model, "version", e.Order.Version, "number", e.Order.Number)
}

func (s *Server) listHosts() {
	ctx, cancel := s.platformContext()
	defer cancel()
	hosts, err := s.hosts.Hosts(ctx)
	if err != nil {
		s.metrics.countPlatformFailure("hosts")
		return
	}
	s.Post(member.HostsListed{Hosts: hosts})
}

// loadTimeout is the timeout of a query for the load of an upstream or the model that an
// engine has loaded.
const loadTimeout = 500 * time.Millisecond

func (s *Server) queryLoad(h wire.Host) {
	ctx, cancel := context.WithTimeout(s.context, loadTimeout)
	defer cancel()
	load, err := s.upstreams.load(ctx, h)
	if err != nil {
		s.metrics.countUpstreamFailure(h.Pool, "load")
		return
	}
	s.Post(core.LoadReported{Host: h.ID, Load: load})
}

// lookup queries every upstream of the service for the status of a key. The key counts as
// not seen only if all of them respond and none has seen it.
func (s *Server) lookup(e ledger.Lookup) {
	var hosts []wire.Host
	s.Query(func(n *core.Node) { hosts = n.LookupHosts(e.Attempt) })
	ctx, cancel := context.WithTimeout(s.context, s.settings.PlatformTimeout)
	defer cancel()
	found := ledger.LookupFinished{Attempt: e.Attempt, Failed: len(hosts) == 0}
	for _, h := range hosts {
		status, err := s.upstreams.status(ctx, h, e.Key.ID, e.Number)
		if err != nil {
			s.metrics.countUpstreamFailure(h.Pool, "lookup")
			found.Failed = true
			break
		}
		if status.Finished || status.Seen && !found.Status.Finished {
			found.Status = status
		}
	}
	s.Post(found)
}
