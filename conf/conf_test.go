package conf

import (
	"os"
	"strings"
	"testing"
	"time"
)

const valid = `
[node]
id = entry-1
zone = zone-a
[listen]
callers = 127.0.0.1:8101
peers = 127.0.0.1:8201
operators = 127.0.0.1:8301
max_body = 64KiB
[secrets]
peers = 0123456789abcdef
operators = 0123456789abcdef
[platform]
url = http://127.0.0.1:8000
timeout = 300ms
`

func TestParse(t *testing.T) {
	s, err := Parse("node.ini", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.MaxBody != 64<<10 || s.PlatformTimeout != 300*time.Millisecond {
		t.Errorf("settings are %+v, want a max_body of 64KiB and a timeout of 300ms", s)
	}
	if s.Core.Member.Self.Addr != "127.0.0.1:8201" || s.Core.Ledger.Node != "entry-1" {
		t.Errorf("core settings are %+v, want peer address 127.0.0.1:8201 and ledger node entry-1", s.Core)
	}
}

func TestExample(t *testing.T) {
	data, err := os.ReadFile("../examples/node.ini")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("node.ini", data); err != nil {
		t.Error(err)
	}
	for _, s := range new(Settings).schema() {
		if !strings.Contains(string(data), s.key+" =") {
			t.Errorf("example has no key %q of section %q", s.key, s.section)
		}
	}
}

func TestParseErrors(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(valid, old, new, 1) }
	tests := []struct {
		name, text string
		want       []string
	}{
		{"missing key", replace("id = entry-1\n", ""), []string{"node.ini: [node] id: key is missing"}},
		{"unknown key", replace("zone = zone-a", "zone = zone-a\nzine = b"), []string{"node.ini:5: [node] zine: key does not exist"}},
		{"unknown section", valid + "[nodes]\n", []string{"node.ini:16: [nodes]: section does not exist"}},
		{"duration without unit", replace("300ms", "300"), []string{`node.ini:15: [platform] timeout: "300" is not a duration`}},
		{"unknown unit", replace("64KiB", "64K"), []string{`node.ini:9: [listen] max_body: "64K" is not a size`}},
		{"host name", replace("127.0.0.1:8101", "localhost:8101"), []string{`node.ini:6: [listen] callers: "localhost:8101" is not an IP address and a port`}},
		{"short secret", replace("0123456789abcdef", "secret"), []string{"node.ini:11: [secrets] peers: credential has 6 bytes, fewer than 16"}},
		{"retention too short", valid + "retention = 1h\n", []string{"[ledger] window: window plus twice max_skew is"}},
		{"three errors", strings.NewReplacer("300ms", "x", "64KiB", "y", "id = entry-1", "id =").Replace(valid), []string{
			`node.ini:3: [node] id: value is empty`,
			`node.ini:9: [listen] max_body: "y" is not a size`,
			`node.ini:15: [platform] timeout: "x" is not a duration`,
		}},
		{"invalid INI", "[node\nid", []string{"node.ini"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("node.ini", []byte(test.text))
			if err == nil {
				t.Fatal("Parse returns no error")
			}
			for _, w := range test.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("errors are\n%v\nwant them to contain %q", err, w)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[node]\nid=a\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("Parse returns settings %v and error %v, want exactly one of them", s, err)
		}
	})
}
