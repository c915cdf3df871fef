// Command teaselplank serves multi-stage model pipelines. See package cmds for
// its subcommands.
package main

import (
	"os"

	"teaselplank/cmd/teaselplank/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
