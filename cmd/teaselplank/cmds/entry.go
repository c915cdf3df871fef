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
	"teaselplank/memory"
	"teaselplank/platform"
	"teaselplank/relay"
)

// entry runs an entry host of a deployment until it receives SIGTERM or SIGINT.
type entry struct {
	Settings string `arg:"" optional:"" env:"${settings_variable}" help:"Settings file; defaults to the one that the environment variable names."`
	Check    bool   `help:"Check the settings and exit."`
}

// gcPercent is the heap growth between two garbage collections below the memory limit, in
// percent.
const gcPercent = 60

// Run implements the subcommand.
func (c *entry) Run(s *streams) error {
	// Register the signals first: a SIGHUP that arrives earlier ends the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Settings == "" {
		return fmt.Errorf("no settings file: pass it as an argument or set %s", platform.SettingsVariable)
	}
	settings, err := conf.LoadEntry(c.Settings)
	if err != nil {
		return fmt.Errorf("settings are not valid:\n%w", err)
	}
	if c.Check {
		fmt.Fprintf(s.out, "%s: settings are valid\n", c.Settings)
		return nil
	}
	debug.SetMemoryLimit(memory.Divide(settings.Memory).Runtime)
	debug.SetGCPercent(gcPercent)
	writer := logs.New(s.out)
	defer writer.Close()
	store := platform.NewStore(settings.Store)
	node, err := relay.New(relay.Options{
		Settings: settings,
		Registry: store,
		Origins:  store,
		Protocol: platform.Adapter{},
		Logger:   writer.Logger(),
	})
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	go checkSettingsOnReload(ctx, reloads, writer.Logger(), c.Settings)
	return node.Serve(ctx)
}

// checkSettingsOnReload validates the settings file at each SIGHUP and logs the result.
// The node reads its settings only at startup, so a change takes effect after a restart.
func checkSettingsOnReload(ctx context.Context, reloads <-chan os.Signal, logger *slog.Logger, file string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		}
		if _, err := conf.LoadEntry(file); err != nil {
			logger.Error("settings are not valid; the settings from startup stay in effect", "error", err.Error())
			continue
		}
		logger.Info("settings are valid; the settings from startup stay in effect until a restart")
	}
}
