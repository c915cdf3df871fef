package conf

import (
	"strings"
	"testing"
	"time"

	"teaselplank/pace"
)

const validEntry = `[node]
id = entry-1
zone = a
grace = 8s
memory = 284MiB
descriptors = 4100
[listen]
callers = 10.0.0.1:1
ready = 10.0.0.1:2
peers = 10.0.0.1:3
metrics = 10.0.0.1:4
[platform]
store = 10.0.0.9:5
[members]
seeds = 10.0.0.1:3,10.0.0.2:3
[repeats]
ratio = 0.2
slack = 54
window = 10s
`

func TestParseEntry(t *testing.T) {
	e, err := ParseEntry("node.ini", []byte(validEntry))
	if err != nil {
		t.Fatal(err)
	}
	if e.Node != "entry-1" || e.Grace != 8*time.Second || e.Memory != 284<<20 || e.Descriptors != 4100 || len(e.Seeds) != 2 || e.Budget.Slack != 54 {
		t.Errorf("settings are %+v, want the values of the file", e)
	}
	t.Run("no seeds", func(t *testing.T) {
		e, err := ParseEntry("node.ini", []byte(strings.Replace(validEntry, "10.0.0.1:3,10.0.0.2:3", "", 1)))
		if err != nil || len(e.Seeds) != 0 {
			t.Errorf("seeds are %v (%v), want none", e.Seeds, err)
		}
	})
}

func TestParseEntryHeartbeat(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want time.Duration
	}{
		"missing": {"", 0},
		"empty":   {"heartbeat_ms =\n", 0},
		"set":     {"heartbeat_ms = 800\n", 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := ParseEntry("node.ini", []byte(strings.Replace(validEntry, "[members]", c.text+"[members]", 1)))
			if err != nil || e.Heartbeat != c.want {
				t.Errorf("settings are %+v (%v), want a heartbeat of %s", e, err, c.want)
			}
		})
	}
}

// A process may take the place of another one unless the settings say that it cannot.
func TestParseEntryFirstStart(t *testing.T) {
	for text, want := range map[string]bool{"": true, "first_start =\n": true, "first_start = false\n": true, "first_start = true\n": false} {
		e, err := ParseEntry("node.ini", []byte(strings.Replace(validEntry, "zone = a\n", "zone = a\n"+text, 1)))
		if err != nil || e.TakesOver != want {
			t.Errorf("%q: takes over is %t (%v), want %t", text, e.TakesOver, err, want)
		}
	}
}

func TestParseEntryHeartbeatErrors(t *testing.T) {
	for _, value := range []string{"0", "-1", "1.5", "800ms", "3600001", "99999999999999999999"} {
		_, err := ParseEntry("node.ini", []byte(strings.Replace(validEntry, "[members]", "heartbeat_ms = "+value+"\n[members]", 1)))
		if err == nil || !strings.Contains(err.Error(), "is not a number of milliseconds") {
			t.Errorf("heartbeat %q: error is %v, want one that names it", value, err)
		}
	}
}

// A file with several errors reports all of them, each with its location.
func TestParseEntryErrors(t *testing.T) {
	bad := strings.NewReplacer("id = entry-1\n", "", "10.0.0.9:5", "store", "grace = 8s", "grace = soon", "ratio = 0.2", "ratio = -1", "4100", "100", "[members]", "[others]").Replace(validEntry)
	_, err := ParseEntry("node.ini", []byte(bad))
	if err == nil {
		t.Fatal("ParseEntry accepts a file with errors")
	}
	for _, want := range []string{
		"node.ini: [node] id: key is missing",
		`node.ini:3: [node] grace: "soon" is not a duration`,
		`node.ini:5: [node] descriptors: "100" is not a number greater than or equal to 256`,
		`node.ini:12: [platform] store: "store" is not an IP address and a port`,
		"node.ini:13: [others]: section does not exist",
		`node.ini:16: [repeats] ratio: "-1" is not a number`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("errors are\n%v\nwant them to contain %q", err, want)
		}
	}
}

// The platform renders bounds that it does not have as empty values, which must leave the
// defaults in force.
func TestParseEntryWarmup(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want pace.Bounds
	}{
		"missing": {"", pace.Bounds{Overrun: 1.5, Slack: 5}},
		"empty":   {"[warmup]\noverrun =\nslack =\n", pace.Bounds{Overrun: 1.5, Slack: 5}},
		"set":     {"[warmup]\noverrun = 1.2\nslack = 3\n", pace.Bounds{Overrun: 1.2, Slack: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := ParseEntry("node.ini", []byte(validEntry+c.text))
			if err != nil {
				t.Fatal(err)
			}
			if e.Warmup != c.want {
				t.Errorf("bounds are %+v, want %+v", e.Warmup, c.want)
			}
		})
	}
	for _, value := range []string{"-1", "NaN", "Inf", "many"} {
		if _, err := ParseEntry("node.ini", []byte(validEntry+"[warmup]\nslack = "+value+"\n")); err == nil {
			t.Errorf("a slack of %q is accepted", value)
		}
	}
}
