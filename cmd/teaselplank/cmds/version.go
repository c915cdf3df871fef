package cmds

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the version of this source tree.
const Version = "0.1.0"

// version prints the version.
type version struct{}

// Run implements the subcommand.
func (version) Run(s *streams) error {
	revision := "unknown revision"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	fmt.Fprintf(s.out, "teaselplank %s (%s, %s)\n", Version, revision, runtime.Version())
	return nil
}
