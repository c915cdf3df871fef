package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"teaselplank/client"
	"teaselplank/wire"
)

// callOptions holds the flags of the subcommands that make calls as a client account.
type callOptions struct {
	Nodes    []string      `name:"node" required:"" env:"TEASELPLANK_CALLERS" help:"Addresses of the nodes' listeners for callers."`
	Token    string        `required:"" env:"TEASELPLANK_TOKEN" help:"Credential of the client account."`
	Pipeline string        `xor:"what" required:"" help:"Pipeline to call."`
	Service  string        `xor:"what" required:"" help:"Service to call."`
	Input    string        `default:"hello" help:"Input of the call."`
	Prefix   string        `help:"Name of a shared prompt prefix."`
	Tokens   int           `help:"Maximum number of tokens to generate."`
	Deadline time.Duration `help:"Deadline of a call; it can only shorten the one in the rules."`
	Once     bool          `help:"Send an idempotency key with each call."`
}

// call makes one call.
type call struct {
	callOptions
	Key    string `help:"Idempotency key to use."`
	Stream bool   `help:"Print tokens as they arrive."`
	JSON   bool   `help:"Print JSON."`
}

// errNoResult is returned if the outcome of a call is not done.
var errNoResult = errors.New("call has no result")

// Run implements the subcommand.
func (c *call) Run(s *streams) error {
	key := c.Key
	if key == "" && c.Once {
		key = uuid.Must(uuid.NewV7()).String()
	}
	request := c.newRequest(c.Input, key)
	request.Stream = c.Stream
	request.OnToken = func(text string) { fmt.Fprint(s.out, text) }
	answer, err := client.New(c.Token).Send(context.Background(), c.Nodes[0], request)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(s, answer); err != nil {
			return err
		}
	} else if c.Stream {
		fmt.Fprintln(s.out)
	} else if answer.Outcome == wire.Done {
		fmt.Fprintln(s.out, answer.Output)
	}
	if answer.Outcome != wire.Done {
		return fmt.Errorf("outcome %s: %s (retry after %d ms): %w", answer.Outcome, answer.Error, answer.RetryAfter, errNoResult)
	}
	return nil
}

// newRequest returns a request with the given input and key.
func (o *callOptions) newRequest(input, key string) client.Request {
	return client.Request{
		Pipeline: o.Pipeline, Service: o.Service, Input: input, Prefix: o.Prefix,
		MaxTokens: o.Tokens, Key: key, Deadline: o.Deadline,
	}
}
