package relay

import (
	"slices"
	"testing"
	"time"

	"teaselplank/peerpb"
	"teaselplank/proxy"
)

// The replies of other nodes must show the version of a stream only if none may be missing that
// has begun it.
func TestOriginOfReplies(t *testing.T) {
	const viewAge = 2 * time.Second
	running := func(versions ...string) *peerpb.OriginReply {
		return &peerpb.OriginReply{UptimeMs: 60_000, Versions: versions}
	}
	sent := &peerpb.OriginReply{Found: true, Service: "engine", Version: "v2", UptimeMs: 100}
	restarted := &peerpb.OriginReply{UptimeMs: 1_900, Versions: []string{"v1"}}
	for _, c := range []struct {
		name     string
		replies  []*peerpb.OriginReply
		complete bool
		versions []string
		source   proxy.OriginSource
	}{
		{name: "all have one version", replies: []*peerpb.OriginReply{running("v1"), running("v1")}, complete: true, versions: []string{"v1"}},
		{name: "one has another version", replies: []*peerpb.OriginReply{running("v2"), running("v1")}, complete: true, versions: []string{"v1", "v2"}},
		{name: "one does not answer", replies: []*peerpb.OriginReply{nil, running("v1")}, versions: []string{"v1"}},
		{name: "one has started since the view", replies: []*peerpb.OriginReply{restarted, running("v1")}, versions: []string{"v1"}},
		{name: "one has sent the stream", replies: []*peerpb.OriginReply{nil, running("v1"), sent}, source: proxy.OriginPeer},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := originOfReplies(1, c.replies, viewAge)
			if found.Peers.Complete != c.complete || !slices.Equal(found.Peers.Versions, c.versions) {
				t.Errorf("peers are %+v, want %v and %v", found.Peers, c.complete, c.versions)
			}
			if found.Source != c.source {
				t.Errorf("source is %q, want %q", found.Source, c.source)
			}
		})
	}
}
