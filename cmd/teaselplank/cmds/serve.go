package cmds

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"teaselplank/conf"
	"teaselplank/infra"
	"teaselplank/server"
)

// serve runs a node until it receives SIGTERM, SIGINT or SIGHUP.
type serve struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
	Check    bool   `help:"Check the settings and exit."`
}

// Run implements the subcommand.
func (c *serve) Run(s *streams) error {
	settings, err := conf.Load(c.Settings)
	if err != nil {
		return fmt.Errorf("settings are not valid:\n%w", err)
	}
	if c.Check {
		fmt.Fprintf(s.out, "%s: settings are valid\n", c.Settings)
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	platform := infra.NewClient(settings.PlatformURL, settings.PlatformTimeout)
	node, err := server.New(server.Options{
		Settings: settings,
		Log:      platform,
		Hosts:    platform,
		Logger:   newLogger(s.err, settings.LogFormat),
	})
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	defer node.Close()
	return node.Serve(ctx)
}

func newLogger(w io.Writer, format string) *slog.Logger {
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, nil))
	}
	return slog.New(slog.NewTextHandler(w, nil))
}
