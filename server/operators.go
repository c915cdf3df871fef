package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"teaselplank/core"
	"teaselplank/rules"
)

// operatorHandler returns the handler of the listener for operators.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/dump", s.serveDump)
	mux.HandleFunc("GET /v1/status", s.serveStatus)
	mux.HandleFunc("GET /v1/rules", s.serveRules)
	mux.HandleFunc("POST /v1/rules", s.servePublish)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return s.authorized("operators", s.settings.OperatorToken, mux)
}

// Rules is the response to GET /v1/rules.
type Rules struct {
	Version int64                          `json:"version"`
	Rules   map[string]rules.VersionedRule `json:"rules"`
}

// serveRules returns the rules of a recent version, by default the version in force.
func (s *Server) serveRules(w http.ResponseWriter, r *http.Request) {
	var answer Rules
	found := false
	at := r.URL.Query().Get("at")
	version, err := strconv.ParseInt(at, 10, 64)
	if at != "" && err != nil {
		http.Error(w, fmt.Sprintf("version %q is not a number", at), http.StatusBadRequest)
		return
	}
	s.Query(func(n *core.Node) {
		if at == "" {
			version = n.Replica().Version()
		}
		answer.Version = version
		answer.Rules, found = n.Replica().At(version)
		if version == 0 && n.Replica().Initialized() {
			found = true
		}
	})
	if !found {
		http.Error(w, fmt.Sprintf("rules of version %d are not known to this node", version), http.StatusNotFound)
		return
	}
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write fails only if the connection is lost, which the client notices itself.
	_ = encoder.Encode(value)
}

// Limits of a publish request.
const (
	publishTimeout      = 10 * time.Second
	publishPollInterval = 100 * time.Millisecond
)

// servePublish appends a change to the log, waits until the node has read it back, and
// responds with its verdict. The request is idempotent: it can be retried with the same id.
func (s *Server) servePublish(w http.ResponseWriter, r *http.Request) {
	var change rules.Change
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &change)
	}
	if err != nil || change.ID == "" {
		http.Error(w, "body is not a change with an id", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	verdict, err := s.publish(ctx, &change)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, verdict)
}

func (s *Server) publish(ctx context.Context, change *rules.Change) (rules.Verdict, error) {
	record, err := rules.EncodeChange(change)
	if err != nil {
		return rules.Verdict{}, err
	}
	appended := false
	for {
		if v, ok := s.verdict(change.ID); ok {
			return v, nil
		}
		if !appended {
			_, err = s.log.Append(ctx, rules.Stream, record)
			appended = err == nil
		}
		s.readStream(core.ReadStream{Stream: rules.Stream, From: s.nextRulesOffset()})
		if v, ok := s.verdict(change.ID); ok {
			return v, nil
		}
		select {
		case <-time.After(publishPollInterval):
		case <-ctx.Done():
			return rules.Verdict{}, fmt.Errorf("verdict on change %q is not known yet (last append: %v); publish it again with the same id", change.ID, err)
		}
	}
}

func (s *Server) verdict(id string) (v rules.Verdict, ok bool) {
	s.Query(func(n *core.Node) { v, ok = n.Replica().Verdict(id) })
	return v, ok
}

func (s *Server) nextRulesOffset() (next int64) {
	s.Query(func(n *core.Node) { next = n.Replica().Next() })
	return next
}

// NodeStatus describes a node in the view of the node that reports it.
type NodeStatus struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Version     int64  `json:"rules_version"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Node    string       `json:"node"`
	Ready   bool         `json:"ready"`
	Reason  string       `json:"reason,omitempty"`
	Version int64        `json:"rules_version"`
	Calls   int          `json:"calls"`
	Nodes   []NodeStatus `json:"nodes"`
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	var status Status
	s.Query(func(n *core.Node) { status = currentStatus(n) })
	writeJSON(w, status)
}

func currentStatus(n *core.Node) Status {
	self := n.Group().Self()
	status := Status{
		Node: self.ID, Ready: n.Ready(), Reason: n.Unready(),
		Version: n.Replica().Version(), Calls: n.Runner().Len(),
	}
	state := "live"
	if self.Leaving {
		state = "leaving"
	}
	status.Nodes = append(status.Nodes, NodeStatus{self.ID, self.Incarnation, self.Zone, state, n.Replica().Version()})
	for _, p := range n.Group().Peers() {
		o := p.Node()
		status.Nodes = append(status.Nodes, NodeStatus{o.ID, o.Incarnation, o.Zone, string(p.State()), o.Version})
	}
	return status
}

// serveDump returns the state of the node.
func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	var dump core.Dump
	s.Query(func(n *core.Node) { dump = n.Dump(time.Now()) })
	writeJSON(w, dump)
}
