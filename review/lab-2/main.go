// Command lab-2 plays the scripts of the second review. It has stand-ins of the platform's store,
// of workers and of clients, and starts the entry hosts as processes of their own.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// mostTime is how long a case may take.
const mostTime = 100 * time.Second

var errEnded = errors.New("it was ended from outside")

// cases has the cases by name. A case reports whether the rule held.
var cases = map[string]func(*lab) (held bool, err error){
	"promise": playPromise,
	"born":    playBorn,
	"crowd":   playCrowd,
	"order":   playOrder,
}

func main() {
	program := flag.String("program", "target/teaselplank", "the program of the deploy file")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	name := flag.String("case", "", "name of the case")
	flag.Parse()
	os.Exit(play(*name, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func play(name, program, record string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Printf("no case is called %q\n", name)
		return exitNotRun
	}
	l, err := newLab(program, record, trouble)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer l.close()
	held, err := false, errEnded
	done := make(chan struct{})
	go func() {
		held, err = run(l)
		close(done)
	}()
	// The hosts have to end in any case.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-done:
	case <-ended:
		l.conclude("the case could not run: %v", errEnded)
		return exitNotRun
	case <-time.After(mostTime):
		l.conclude("the case could not run: it takes longer than %s", mostTime)
		return exitNotRun
	}
	switch {
	case err != nil:
		l.conclude("the case could not run: %v", err)
		return exitNotRun
	case held:
		l.conclude("the rule held")
		return exitHeld
	}
	l.conclude("the rule was broken")
	return exitBroken
}
