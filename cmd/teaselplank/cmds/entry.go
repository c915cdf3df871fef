package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"teaselplank/conf"
	"teaselplank/logs"
	"teaselplank/platform"
	"teaselplank/relay"
)

// entry runs an entry host of a deployment until it is asked to stop.
type entry struct {
	Settings string `arg:"" optional:"" env:"TEASELPLANK_NODE_FILE" help:"The settings file; by default the one that the environment names."`
	Check    bool   `help:"Check the settings and stop."`
}

// The share of the memory of the settings from which the collector works harder,
// and how much the heap grows between two collections otherwise, in percent.
const (
	softMemoryShare = 0.6
	heapGrowth      = 60
)

// Run implements the subcommand.
func (c *entry) Run(s *streams) error {
	// Signals are taken before anything else: a SIGHUP that comes earlier ends
	// the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Settings == "" {
		return fmt.Errorf("no settings file is named")
	}
	settings, err := conf.LoadEntry(c.Settings)
	if err != nil {
		return fmt.Errorf("settings are not valid:\n%w", err)
	}
	if c.Check {
		fmt.Fprintf(s.out, "%s: settings are valid\n", c.Settings)
		return nil
	}
	debug.SetMemoryLimit(int64(softMemoryShare * float64(settings.Memory)))
	debug.SetGCPercent(heapGrowth)
	writer := logs.New(s.out)
	defer writer.Close()
	node, err := relay.New(relay.Options{
		Settings: settings,
		Registry: platform.NewStore(settings.Store),
		Protocol: platform.Adapter{},
		Logger:   writer.Logger(),
	})
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	go watchReload(ctx, hangups, writer.Logger(), c.Settings)
	return node.Serve(ctx)
}

// watchReload checks the settings again at each SIGHUP. All of them are read at
// the start only; a change is logged and takes a restart.
func watchReload(ctx context.Context, hangups <-chan os.Signal, logger *slog.Logger, file string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := conf.LoadEntry(file); err != nil {
			logger.Error("settings are not valid; those of the start stay in force", "error", err.Error())
			continue
		}
		logger.Info("settings read again; those of the start stay in force until a restart")
	}
}
