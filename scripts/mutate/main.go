// Command mutate runs mutation tests. It applies each mutant of an INI file to a copy of
// the tree, runs the test that must detect it, and reports the mutants that survive.
//
//	go run ./scripts/mutate scripts/mutants.ini
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"
)

// A mutant is a faulty version of one source file.
type mutant struct {
	name string
	file string
	// old occurs exactly once in the file and is replaced by new.
	old string
	new string
	// pkg and test name the test that must fail.
	pkg  string
	test string
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: mutate FILE [NAME]")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintf(os.Stderr, "mutate: %v\n", err)
		os.Exit(1)
	}
}

func run(file string, names []string) error {
	mutants, err := load(file)
	if err != nil {
		return err
	}
	workTree, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return fmt.Errorf("make scratch copy: %w", err)
	}
	defer os.RemoveAll(workTree)
	if err := os.CopyFS(workTree, os.DirFS(".")); err != nil {
		return fmt.Errorf("make scratch copy: %w", err)
	}
	survived := 0
	passed := make(map[string]bool)
	for _, m := range mutants {
		if len(names) > 0 && !strings.Contains(m.name, names[0]) {
			continue
		}
		if key := m.pkg + " " + m.test; !passed[key] {
			if out, failed := m.runTest(workTree); failed {
				return fmt.Errorf("test %s of %s fails on the original version:\n%s", m.test, m.pkg, out)
			}
			passed[key] = true
		}
		caught, err := m.runMutated(workTree)
		if err != nil {
			return fmt.Errorf("mutant %q: %w", m.name, err)
		}
		result := "caught  "
		if !caught {
			result = "SURVIVED"
			survived++
		}
		fmt.Printf("%s  %s (%s in %s)\n", result, m.name, m.test, m.pkg)
	}
	if survived > 0 {
		return fmt.Errorf("%d mutants survived", survived)
	}
	return nil
}

func load(file string) ([]mutant, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return nil, fmt.Errorf("read %q: %w", file, err)
	}
	var mutants []mutant
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		value := func(key string) string { return s.Key(key).String() }
		mutants = append(mutants, mutant{s.Name(), value("file"), value("old"), value("new"), value("pkg"), value("test")})
	}
	return mutants, nil
}

// runMutated runs the test on the mutant and reports whether it fails.
func (m mutant) runMutated(dir string) (bool, error) {
	path := filepath.Join(dir, m.file)
	original, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("read source: %w", err)
	}
	if n := strings.Count(string(original), m.old); n != 1 {
		return false, fmt.Errorf("%q occurs %d times in %s, want 1", m.old, n, m.file)
	}
	mutated := strings.Replace(string(original), m.old, m.new, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o644); err != nil {
		return false, fmt.Errorf("write mutant: %w", err)
	}
	defer os.WriteFile(path, original, 0o644)
	build := exec.Command("go", "vet", m.pkg)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("mutant does not build: %s", out)
	}
	out, failed := m.runTest(dir)
	return failed && strings.Contains(out, "--- FAIL"), nil
}

// runTest runs the test. It returns the output and reports whether the test failed.
func (m mutant) runTest(dir string) (string, bool) {
	test := exec.Command("go", "test", "-run", "^"+m.test+"$", m.pkg)
	test.Dir = dir
	out, err := test.CombinedOutput()
	return string(out), err != nil
}
