package triage

import (
	"slices"
	"strings"
	"testing"
)

const sampleLog = `   0.04 entry-1 {"time":"2026-12-04T02:00:01.000Z","level":"INFO","msg":"admitted","request":"a","reason":"","route":"r"}
{"time":"2026-12-04T02:00:01.100Z","level":"INFO","msg":"reply","request":"a","reason":"cannot be answered in time","status":503}
not a line of ours
   0.05 entry-2 {"time":"2026-12-04T02:00:01.050Z","level":"INFO","msg":"stage refused","request":"a","reason":"stage cannot finish in time","stage":1}
   0.06 entry-2 {"time":"2026-12-04T02:00:02.000Z","level":"INFO","msg":"send","request":"b","reason":""}
{"time":"2026-12-04T02:00:02.100Z","level":"INFO","msg":"attempt failed","request":"b","reason":"","failure":"broken"}
{"time":"2026-12-04T02:00:02.200Z","level":"INFO","msg":"send","request":"b","reason":""}
{"time":"2026-12-04T02:00:02.300Z","level":"INFO","msg":"answered","request":"b","reason":"answered"}
{"time":"2026-12-04T02:00:03.000Z","level":"INFO","msg":"send","request":"c","reason":""}
{"time":"2026-12-04T02:00:03.100Z","level":"INFO","msg":"attempt failed","request":"c","reason":"","failure":"crossed"}
{"time":"2026-12-04T02:00:03.200Z","level":"INFO","msg":"reply","request":"c","reason":"upstream broke off","status":502}
{"time":"2026-12-04T02:00:03.300Z","level":"INFO","msg":"answered","request":"e","reason":"answered","status":500}
{"time":"2026-12-04T02:00:04.000Z","level":"INFO","msg":"configuration in force","version":3}
`

func readSampleLog(t *testing.T) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(sampleLog), "file")
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestForRequest(t *testing.T) {
	var got []string
	for _, l := range ForRequest(readSampleLog(t), "a") {
		got = append(got, l.String())
	}
	want := `02:00:01.000 entry-1: admitted route=r
02:00:01.050 entry-2: stage refused (stage cannot finish in time) stage=1
02:00:01.100 entry-1: reply (cannot be answered in time) status=503`
	if text := strings.Join(got, "\n"); text != want {
		t.Errorf("lines are\n%s\nwant\n%s", text, want)
	}
}

func TestFirstCause(t *testing.T) {
	lines := readSampleLog(t)
	for _, c := range []struct{ request, want string }{{"a", "stage refused"}, {"b", ""}, {"c", "attempt failed"}, {"d", ""}, {"e", "answered"}} {
		t.Run(c.request, func(t *testing.T) {
			got, _ := FirstCause(ForRequest(lines, c.request))
			if string(got.decision) != c.want {
				t.Errorf("cause is %q, want %q", got.decision, c.want)
			}
		})
	}
}

func TestSummary(t *testing.T) {
	got := Summary(readSampleLog(t))
	want := []Count{{"answered: answered", 1, "e"}, {"attempt failed", 1, "c"}, {"stage refused: stage cannot finish in time", 1, "a"}}
	if !slices.Equal(got, want) {
		t.Errorf("summary is %+v, want one request each for answered, attempt failed and stage refused", got)
	}
}
