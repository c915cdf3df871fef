package server

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"teaselplank/member"
	"teaselplank/peerpb"
	"teaselplank/rules"
	"teaselplank/wire"
)

// TestDigestCoding checks that encoding a digest as a message and decoding it again
// returns the same digest. A field that either direction omits is lost between nodes.
func TestDigestCoding(t *testing.T) {
	d := member.Digest{
		From: member.Node{
			ID: "a", Incarnation: "1", Addr: "127.0.0.1:1", Zone: "z", Heartbeat: 7, Leaving: true, Version: 9,
			Rates: map[string]float64{"generate": 2, "generate!": 1, "generate/kingston": 0.5},
		},
		Nodes: []member.Node{{ID: "b", Heartbeat: 1}},
		Marks: []member.Mark{{Host: "w", Incarnation: "2"}},
	}
	if got := member.DigestFromMessage(d.Message()); !reflect.DeepEqual(got, d) {
		t.Errorf("digest is %+v, want %+v", got, d)
	}
}

// TestPeerContract checks each call between nodes over HTTP: a wrong credential is
// rejected, the replies are complete, and the state contains no credential.
func TestPeerContract(t *testing.T) {
	node := startTestServer(t, 0)
	s := httptest.NewServer(node.peerHandler())
	t.Cleanup(s.Close)
	addr := s.Listener.Addr().String()
	peer := newPeers(node.settings.PeerToken).clientFor(addr)
	t.Run("wrong credential", func(t *testing.T) {
		if _, err := newPeers("wrong").clientFor(addr).State(context.Background(), &peerpb.StateRequest{}); err == nil {
			t.Error("State succeeded with a wrong credential")
		}
	})
	t.Run("exchange", func(t *testing.T) {
		m, err := peer.Exchange(context.Background(), member.Digest{From: member.Node{ID: "other", Incarnation: "1", Addr: "127.0.0.1:9", Heartbeat: 1}}.Message())
		if err != nil || member.DigestFromMessage(m).From.ID != "n" || member.DigestFromMessage(m).From.Version != 1 {
			t.Errorf("answer is %+v, %v", m, err)
		}
	})
	t.Run("state", func(t *testing.T) {
		m, err := peer.State(context.Background(), &peerpb.StateRequest{})
		if err != nil {
			t.Fatal(err)
		}
		var c rules.Checkpoint
		var hosts []wire.Host
		if err := json.Unmarshal(m.GetRules(), &c); err != nil || c.Version != 1 || len(c.Lines) != 2 {
			t.Errorf("rules are %s, %v", m.GetRules(), err)
		}
		if err := json.Unmarshal(m.GetHosts(), &hosts); err != nil || len(hosts) != 1 {
			t.Errorf("hosts are %s, %v", m.GetHosts(), err)
		}
		if strings.Contains(string(m.GetRules()), testToken) {
			t.Error("the state contains a credential")
		}
	})
	t.Run("forward", func(t *testing.T) {
		m, err := peer.Forward(context.Background(), &peerpb.ForwardRequest{Id: "f", Account: "a", Service: "status", Input: "x", WithinMs: 1000})
		var answer wire.Answer
		if err == nil {
			err = json.Unmarshal(m.GetAnswer(), &answer)
		}
		if err != nil || answer.Outcome != wire.Done || answer.Output != "receipt(x)" || m.GetStatus() != http.StatusOK {
			t.Errorf("answer is %+v, %v", answer, err)
		}
	})
}
