// Command lab has the stand-ins and clients of the review's scripts. Each subcommand plays one
// case: it starts the programs of the deploy file, plays a disruption, writes a record and checks a
// rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// A lab is one run of a case.
type lab struct {
	dir     string
	trouble bool
	started time.Time
	mu      sync.Mutex
	record  *os.File
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(*lab) (int, error){
	"budget": runBudget,
	"reader": runReader,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(unknown)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code.
func play(name, folder string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	defer record.Close()
	l := &lab{dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	code, err := cases[name](l)
	if err != nil {
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(dir))
		}
		return unknown
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	l.note("exit code %d", code)
	return code
}
