package check

import (
	"slices"
	"strings"
	"testing"
	"time"

	"teaselplank/fleet"
)

// sound returns a configuration without findings.
func sound() fleet.Config {
	rank := 2
	return fleet.Config{
		Version: 7,
		Routes: []fleet.Route{
			{Name: "plain", Host: "h", Prefix: "/plain/", Kind: fleet.Safe, Targets: []fleet.Target{{Service: "desk", Weight: 1}}, Timeout: time.Second, Objective: 200 * time.Millisecond, Attempts: 2},
			{
				Name: "chat", Host: "h", Prefix: "/", Kind: fleet.Stream, Resumable: true, Targets: []fleet.Target{{Service: "engine", Weight: 1}},
				Stages: []fleet.Stage{{Service: "encode", ResultBytes: 100}, {Service: "encode", After: []int{0}, ResultBytes: 100}}, Timeout: 4 * time.Second, Objective: 2 * time.Second, Attempts: 2,
			},
		},
		Services: []fleet.Service{
			{Name: "desk"}, {Name: "engine", Engine: true},
			{Name: "encode", Batch: &fleet.Batch{CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemory: 1000}},
		},
		Accounts: []fleet.Account{{Name: "a", Keys: []string{"secret-a"}}, {Name: "b", Keys: []string{"secret-b"}, Rank: &rank}},
		Limits:   fleet.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Each fault must be found, and nothing else be named besides.
func TestFindings(t *testing.T) {
	tests := map[string]struct {
		change func(c *fleet.Config)
		kind   Kind
		entry  string
	}{
		"older version":           {func(c *fleet.Config) { c.Version = 6 }, Invalid, "version"},
		"no such service":         {func(c *fleet.Config) { c.Routes[0].Targets[0].Service = "x"; c.Services = c.Services[1:] }, Invalid, `route "plain"`},
		"stage service as target": {func(c *fleet.Config) { c.Routes[0].Targets[0].Service = "encode"; c.Services = c.Services[1:] }, Invalid, `route "plain"`},
		"target as stage":         {func(c *fleet.Config) { c.Routes[1].Stages[1].Service = "desk" }, Invalid, `route "chat"`},
		"weight 0": {func(c *fleet.Config) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, fleet.Target{Service: "engine"})
		}, Unreachable, `route "plain"`},
		"shadowed route":     {func(c *fleet.Config) { c.Routes[1].Prefix = "/plain/" }, Unreachable, `route "chat"`},
		"prefix":             {func(c *fleet.Config) { c.Routes[0].Prefix = "plain/" }, Unreachable, `route "plain"`},
		"port in host name":  {func(c *fleet.Config) { c.Routes[0].Host = "h:80" }, Unreachable, `route "plain"`},
		"name used twice":    {func(c *fleet.Config) { c.Routes[1].Name = "plain" }, Invalid, `route "plain"`},
		"unused service":     {func(c *fleet.Config) { c.Services = append(c.Services, fleet.Service{Name: "x"}) }, Unreachable, `service "x"`},
		"service twice":      {func(c *fleet.Config) { c.Services = append(c.Services, fleet.Service{Name: "desk"}) }, Unreachable, `service "desk"`},
		"engine and stage":   {func(c *fleet.Config) { c.Services[2].Engine = true }, Contradiction, `service "encode"`},
		"results too large":  {func(c *fleet.Config) { c.Routes[1].Stages[1].ResultBytes = 1001 }, Contradiction, `route "chat"`},
		"stages take longer": {func(c *fleet.Config) { c.Routes[1].Objective = 420 * time.Millisecond }, Contradiction, `route "chat"`},
		"listed in reverse": {func(c *fleet.Config) {
			c.Routes[1].Stages[0].After, c.Routes[1].Stages[1].After = []int{1}, nil
			c.Routes[1].Objective = 420 * time.Millisecond
		}, Contradiction, `route "chat"`},
		"stages and timeout":  {func(c *fleet.Config) { c.Routes[1].Timeout = 400 * time.Millisecond }, Contradiction, `route "chat"`},
		"objective, timeout":  {func(c *fleet.Config) { c.Routes[0].Objective = 2 * time.Second }, Contradiction, `route "plain"`},
		"no timeout":          {func(c *fleet.Config) { c.Routes[0].Timeout = 0 }, Invalid, `route "plain"`},
		"attempts":            {func(c *fleet.Config) { c.Routes[0].Kind = fleet.Unsafe }, Contradiction, `route "plain"`},
		"resumable":           {func(c *fleet.Config) { c.Routes[0].Resumable = true }, Contradiction, `route "plain"`},
		"negative rank":       {func(c *fleet.Config) { c.Routes[0].Rank = -1 }, Invalid, `route "plain"`},
		"key of two accounts": {func(c *fleet.Config) { c.Accounts[1].Keys[0] = "secret-a" }, Contradiction, `account "b"`},
		"account without key": {func(c *fleet.Config) { c.Accounts[0].Keys = nil }, Unreachable, `account "a"`},
		"account twice":       {func(c *fleet.Config) { c.Accounts[1].Name = "a" }, Invalid, `account "a"`},
		"negative limit":      {func(c *fleet.Config) { c.Limits.BodyBytes = -1 }, Invalid, "limits"},
		"limits":              {func(c *fleet.Config) { c.Limits.IdleTimeout = time.Second }, Contradiction, "limits"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := sound()
			test.change(&c)
			findings := Compare(fleet.Config{Version: 6}, c).Findings
			if len(findings) != 1 || findings[0].Kind != test.kind || findings[0].Entry != test.entry {
				t.Errorf("findings are %+v, want one of kind %q of %s", findings, test.kind, test.entry)
			}
			for _, f := range findings {
				if strings.Contains(f.Text, "secret") {
					t.Errorf("finding %q has an API key", f.Text)
				}
			}
		})
	}
	if r := Compare(fleet.Config{Version: 6}, sound()); len(r.Findings) > 0 {
		t.Errorf("findings of a sound configuration are %+v", r.Findings)
	}
}

func TestChanges(t *testing.T) {
	if r := Compare(sound(), sound()); len(r.Changes) > 0 {
		t.Errorf("changes of the same configuration are %+v", r.Changes)
	}
	old, updated := sound(), sound()
	updated.Version = 8
	updated.Routes[0].Timeout = 3 * time.Second
	updated.Routes = slices.Delete(updated.Routes, 1, 2)
	updated.Services = append(updated.Services, fleet.Service{Name: "x"})
	updated.Accounts[0].Keys = []string{"secret-a", "secret-c"}
	updated.Accounts[1].Rank = nil
	updated.Limits.BodyBytes = 5
	want := []Change{
		{"version", "8, was 7"},
		{`route "plain"`, "timeout 3s, was 1s"},
		{`route "chat"`, "removed"},
		{`service "x"`, "added"},
		{`account "a"`, "keys differ: 2, were 1"},
		{`account "b"`, "rank none, was 2"},
		{"limits", "bodyBytes 5, was 1048576"},
	}
	if got := Compare(old, updated).Changes; !slices.Equal(got, want) {
		t.Errorf("changes are %+v, want %+v", got, want)
	}
}
