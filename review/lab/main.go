// Command lab runs the scripts of the review. It starts the program of the deploy file as separate
// processes before stand-ins for the store and the workers, makes requests, and checks what
// clients and workers see. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailure = 2
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("rule is broken")

// A scenario is the events of a case and the check of its rule.
type scenario func(l *lab) error

// scenarios has the scenarios by name.
var scenarios = map[string]scenario{
	"oddcount":    runOddCount,
	"foreignkeys": runForeignKeys,
	"sentahead":   runSentAhead,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab SCENARIO FOLDER")
		os.Exit(exitFailure)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

// run runs a scenario whose inputs and record are in a folder, and returns the exit status.
func run(s scenario, folder string) int {
	l, err := newLab(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		return exitFailure
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(exitFailure)
	}()
	err = s(l)
	switch {
	case err == nil:
		l.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		l.note("result: %v", err)
		return exitBroken
	}
	l.note("the case could not run: %v", err)
	fmt.Fprintf(os.Stderr, "lab: %v\n", err)
	return exitFailure
}

// program returns the path of the program that the deploy file names.
func program() (string, error) {
	path, err := filepath.Abs(filepath.Join("target", "teaselplank"))
	if err != nil {
		return "", fmt.Errorf("find the program: %w", err)
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("find the program: %w", err)
	}
	return path, nil
}
