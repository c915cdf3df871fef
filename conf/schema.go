package conf

import (
	"fmt"
	"time"
)

// minTokenBytes is the minimum length of a credential.
const minTokenBytes = 16

func token(dst *string) func(string) error {
	return func(value string) error {
		if len(value) < minTokenBytes {
			return fmt.Errorf("credential has %d bytes, fewer than %d", len(value), minTokenBytes)
		}
		*dst = value
		return nil
	}
}

// schema lists all settings.
func (s *Settings) schema() []setting {
	c := &s.Core
	return []setting{
		{"node", "id", true, nonEmpty(&s.Node)},
		{"node", "zone", true, nonEmpty(&s.Zone)},
		{"node", "drain_lag", false, duration(&s.DrainLag, 0, time.Minute)},
		{"node", "drain_limit", false, duration(&s.DrainLimit, time.Second, time.Hour)},
		{"node", "log_format", false, oneOf(&s.LogFormat, "text", "json")},

		{"listen", "callers", true, address(&s.Callers)},
		{"listen", "peers", true, address(&s.Peers)},
		{"listen", "operators", true, address(&s.Operators)},
		{"listen", "max_body", false, size(&s.MaxBody, 1<<10, 64<<20)},
		{"listen", "max_calls", false, integer(&s.MaxCalls, 1, 1<<20)},

		{"secrets", "peers", true, token(&s.PeerToken)},
		{"secrets", "operators", true, token(&s.OperatorToken)},

		{"platform", "url", true, httpURL(&s.PlatformURL)},
		{"platform", "timeout", false, duration(&s.PlatformTimeout, 10*time.Millisecond, time.Minute)},
		{"platform", "retention", false, duration(&c.Retention, time.Minute, 10000*time.Hour)},
		{"platform", "appends_per_second", false, integer(&c.AppendsPerSecond, 1, 100000)},

		{"members", "seeds", false, addresses(&c.Member.Seeds)},
		{"members", "period", false, duration(&c.Member.Period, 10*time.Millisecond, time.Minute)},
		{"members", "suspect_after", false, duration(&c.Member.SuspectAfter, 100*time.Millisecond, time.Hour)},
		{"members", "dead_after", false, duration(&c.Member.DeadAfter, 100*time.Millisecond, time.Hour)},

		{"ledger", "window", false, duration(&c.Ledger.Window, time.Second, 10000*time.Hour)},
		{"ledger", "max_skew", false, duration(&c.Ledger.MaxSkew, 0, time.Hour)},
		{"ledger", "down_after", false, duration(&c.Ledger.DownAfter, 10*time.Millisecond, time.Minute)},
		{"ledger", "takeover_after", false, duration(&c.Ledger.TakeoverAfter, 100*time.Millisecond, time.Hour)},
		{"ledger", "owners_from", false, integer(&c.OwnersFrom, 1, 1<<20)},

		{"routing", "subset", false, integer(&c.Route.SubsetSize, 1, 4096)},
		{"routing", "silence", false, duration(&c.Pipe.StreamIdleTimeout, 10*time.Millisecond, time.Minute)},
		{"routing", "attempt_timeout", false, duration(&c.Pipe.AttemptTimeout, 10*time.Millisecond, time.Minute)},
		{"routing", "max_queue", false, integer(&c.Pipe.MaxQueue, 1, 1<<20)},

		{"poll", "hosts", false, duration(&c.Poll.Hosts, 10*time.Millisecond, time.Minute)},
		{"poll", "rules", false, duration(&c.Poll.Rules, 10*time.Millisecond, time.Minute)},
		{"poll", "loads", false, duration(&c.Poll.Loads, 10*time.Millisecond, time.Minute)},
		{"poll", "loads_per_second", false, integer(&c.Poll.LoadsPerSecond, 1, 100000)},
		{"poll", "leases", false, duration(&c.Poll.Leases, 10*time.Millisecond, time.Minute)},
		{"poll", "ledger", false, duration(&c.Poll.Ledger, 10*time.Millisecond, time.Minute)},
	}
}
