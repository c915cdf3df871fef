// Command mutate shows that the tests can fail. It applies each wrong version
// that an INI file lists to a copy of the tree, runs the test that must catch it,
// and reports the wrong versions that no test has caught.
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

// A mutant is one wrong version.
type mutant struct {
	name string
	file string
	// old stands exactly once in the file and is replaced by new.
	old string
	new string
	// pkg and test say which test must fail.
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
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return fmt.Errorf("make scratch copy: %w", err)
	}
	defer os.RemoveAll(dir)
	if err := os.CopyFS(dir, os.DirFS(".")); err != nil {
		return fmt.Errorf("make scratch copy: %w", err)
	}
	survived := 0
	passed := make(map[string]bool)
	for _, m := range mutants {
		if len(names) > 0 && !strings.Contains(m.name, names[0]) {
			continue
		}
		if right := m.pkg + " " + m.test; !passed[right] {
			if out, failed := m.fails(dir); failed {
				return fmt.Errorf("test %s of %s fails on the right version:\n%s", m.test, m.pkg, out)
			}
			passed[right] = true
		}
		caught, err := m.try(dir)
		if err != nil {
			return fmt.Errorf("mutant %q: %w", m.name, err)
		}
		verdict := "caught  "
		if !caught {
			verdict = "SURVIVED"
			survived++
		}
		fmt.Printf("%s  %s (%s in %s)\n", verdict, m.name, m.test, m.pkg)
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

// try reports whether the test fails on the wrong version.
func (m mutant) try(dir string) (bool, error) {
	path := filepath.Join(dir, m.file)
	right, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("read source: %w", err)
	}
	if n := strings.Count(string(right), m.old); n != 1 {
		return false, fmt.Errorf("%q stands %d times in %s", m.old, n, m.file)
	}
	wrong := strings.Replace(string(right), m.old, m.new, 1)
	if err := os.WriteFile(path, []byte(wrong), 0o644); err != nil {
		return false, fmt.Errorf("write wrong version: %w", err)
	}
	defer os.WriteFile(path, right, 0o644)
	build := exec.Command("go", "vet", m.pkg)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("wrong version does not build: %s", out)
	}
	out, failed := m.fails(dir)
	return failed && strings.Contains(out, "--- FAIL"), nil
}

// fails runs the test and reports whether it failed.
func (m mutant) fails(dir string) (string, bool) {
	test := exec.Command("go", "test", "-run", "^"+m.test+"$", m.pkg)
	test.Dir = dir
	out, err := test.CombinedOutput()
	return string(out), err != nil
}
