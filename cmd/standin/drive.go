package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"teaselplank/load"
)

// driver makes calls to nodes and checks the answers.
type driver struct {
	Nodes    []string      `required:"" help:"Addresses of the nodes' listeners for callers."`
	Token    string        `required:"" help:"Credential of the client account."`
	Killed   []string      `help:"Addresses of nodes that are killed during the run."`
	Pipeline string        `help:"Pipeline to call."`
	Stages   []string      `help:"Kinds of the pipeline's stages, in order."`
	Tokens   int           `default:"32" help:"Number of tokens to generate."`
	Service  string        `help:"Service to call with idempotency keys."`
	Counters []string      `help:"Addresses of the service's upstreams, which count executions."`
	Rate     float64       `default:"10" help:"Calls per second of each kind."`
	Duration time.Duration `default:"10s" help:"How long to make calls."`
}

// Run implements the subcommand.
func (c *driver) Run() error {
	report, err := load.Run(context.Background(), load.Config{
		Nodes: c.Nodes, Token: c.Token, Killed: c.Killed, Pipeline: c.Pipeline, Stages: c.Stages, Tokens: c.Tokens,
		Service: c.Service, Counters: c.Counters, Rate: c.Rate, Duration: c.Duration,
	})
	if err != nil {
		return err
	}
	fmt.Println(report)
	if !report.OK() {
		return errors.New("a result was lost, doubled or crossed")
	}
	return nil
}

// send makes one plain HTTP request, so that scripts need no other HTTP client.
type send struct {
	Method string `arg:"" help:"HTTP method."`
	URL    string `arg:"" help:"URL to request."`
	File   string `arg:"" optional:"" type:"existingfile" help:"File that holds the body."`
	Token  string `help:"Bearer token to send."`
}

// Run implements the subcommand.
func (c *send) Run() error {
	var body io.Reader
	if c.File != "" {
		f, err := os.Open(c.File)
		if err != nil {
			return fmt.Errorf("open body: %w", err)
		}
		defer f.Close()
		body = f
	}
	r, err := http.NewRequest(c.Method, c.URL, body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s returned status %s", c.URL, response.Status)
	}
	return nil
}
