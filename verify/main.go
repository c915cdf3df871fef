package verify

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with fixed values for rapid's flags, so that each run has
// the same result. Flags on the command line take precedence; scripts/soak.sh passes
// -rapid.seed=0 for fresh seeds.
func Main(m *testing.M, flags map[string]string) {
	flag.Parse()
	onCommandLine := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	values := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}
	for name, value := range flags {
		values[name] = value
	}
	for name, value := range values {
		if onCommandLine[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
