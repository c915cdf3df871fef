package verify

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with fixed settings of rapid, so that each run has
// the same verdict. Flags that the command line gives are left as they are; a
// soak gives -rapid.seed=0 for fresh seeds.
func Main(m *testing.M, settings map[string]string) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	fixed := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}
	for name, value := range settings {
		fixed[name] = value
	}
	for name, value := range fixed {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
