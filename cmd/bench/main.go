// Command bench compares policies under the same load and faults. See package
// bench.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"teaselplank/bench"
)

type options struct {
	Without bool   `help:"Also measure the policy with each of its parts disabled in turn."`
	Fault   string `help:"Run only faults whose name contains this text."`
	Site    string `help:"Run only sites whose name contains this text."`
	Seed    uint64 `default:"1" help:"Seed of the load."`
	Costs   bool   `help:"Also print the cost by stage."`
	JSON    bool   `help:"Print JSON."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("bench"), kong.Description("Compares policies under the same load and faults."))
	variants := []bench.Variant{bench.Baseline(), bench.Current()}
	if o.Without {
		variants = append(variants, bench.Ablations()...)
	}
	var reports []bench.Report
	for _, site := range bench.Sites() {
		for _, fault := range bench.Faults() {
			if !strings.Contains(site.Name, o.Site) || !strings.Contains(fault.Name, o.Fault) {
				continue
			}
			for _, v := range variants {
				reports = append(reports, bench.Run(site, fault, v, o.Seed))
			}
		}
	}
	if o.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(reports); err != nil {
			fmt.Fprintf(os.Stderr, "bench: %v\n", err)
			os.Exit(1)
		}
		return
	}
	bench.Print(os.Stdout, reports)
	if o.Costs {
		bench.PrintCosts(os.Stdout, reports)
	}
}
