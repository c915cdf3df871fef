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

// driver makes checked calls to nodes.
type driver struct {
	Nodes    []string      `required:"" help:"Addresses of listeners for callers."`
	Token    string        `required:"" help:"Credential of the client account."`
	Killed   []string      `help:"Nodes that are killed meanwhile."`
	Pipeline string        `help:"Pipeline to call."`
	Stages   []string      `help:"Kinds of the pipeline's stages, in order."`
	Tokens   int           `default:"32" help:"Tokens to generate."`
	Service  string        `help:"Service to call with idempotency keys."`
	Counters []string      `help:"Addresses of the service's upstreams."`
	Rate     float64       `default:"10" help:"Calls a second of each kind."`
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

// send makes one plain HTTP request, so that scripts need no other tool.
type send struct {
	Method string `arg:"" help:"Method."`
	URL    string `arg:"" help:"URL."`
	File   string `arg:"" optional:"" type:"existingfile" help:"File with the body."`
	Token  string `help:"Credential to send."`
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
		return fmt.Errorf("build request: %w", err)
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := http.Client{Timeout: 5 * time.Second}
	answer, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(os.Stdout, answer.Body); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", c.URL, answer.Status)
	}
	return nil
}
