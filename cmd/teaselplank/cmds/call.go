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

// target says what a caller's subcommand calls, and how.
type target struct {
	Nodes    []string      `name:"node" required:"" env:"TEASELPLANK_CALLERS" help:"Addresses of listeners for callers."`
	Token    string        `required:"" env:"TEASELPLANK_TOKEN" help:"Credential of the client account."`
	Pipeline string        `xor:"what" required:"" help:"Pipeline to call."`
	Service  string        `xor:"what" required:"" help:"Service to call."`
	Input    string        `default:"hello" help:"Input of the call."`
	Prefix   string        `help:"Name of a shared prompt prefix."`
	Tokens   int           `help:"Bound of the generated tokens."`
	Deadline time.Duration `help:"Deadline, where it is shorter than the rule's."`
	Once     bool          `help:"Send an idempotency key with each call."`
}

// call makes one call.
type call struct {
	target
	Key    string `help:"Idempotency key to use."`
	Stream bool   `help:"Print tokens as they come."`
	JSON   bool   `help:"Print JSON."`
}

// errNotDone is the failure of a call without a result.
var errNotDone = errors.New("call has no result")

// Run implements the subcommand.
func (c *call) Run(s *streams) error {
	key := c.Key
	if key == "" && c.Once {
		key = uuid.Must(uuid.NewV7()).String()
	}
	request := c.request(c.Input, key)
	request.Stream = c.Stream
	request.Each = func(text string) { fmt.Fprint(s.out, text) }
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
		return fmt.Errorf("outcome %s: %s (come back in %d ms): %w", answer.Outcome, answer.Error, answer.RetryAfter, errNotDone)
	}
	return nil
}

// request returns a call of the target.
func (t *target) request(input, key string) client.Request {
	return client.Request{
		Pipeline: t.Pipeline, Service: t.Service, Input: input, Prefix: t.Prefix,
		Tokens: t.Tokens, Key: key, Deadline: t.Deadline,
	}
}
