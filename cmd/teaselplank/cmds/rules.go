package cmds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"teaselplank/rules"
	"teaselplank/server"
)

// rulesCheck checks a rules file; it needs no node.
type rulesCheck struct {
	File string `arg:"" type:"existingfile" help:"Rules file."`
}

// Run implements the subcommand.
func (c *rulesCheck) Run(s *streams) error {
	lines, err := readRules(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: %d rules are valid\n", c.File, len(lines))
	return nil
}

// readRules reads the rules of a file and checks each of them and their combination.
func readRules(file string) ([]*rules.Line, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read rules: %w", err)
	}
	lines, err := rules.Parse(file, string(text))
	if err == nil {
		_, err = rules.Compile(lines)
	}
	if err != nil {
		return nil, fmt.Errorf("rules are not valid:\n%w", err)
	}
	return lines, nil
}

// rulesShow prints the rules in force.
type rulesShow struct {
	operatorClient
	At   int64 `help:"Version to print; by default the one in force." default:"-1"`
	JSON bool  `help:"Print JSON."`
}

// Run implements the subcommand.
func (c *rulesShow) Run(s *streams) error {
	answer, err := c.fetchRules(c.At)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, answer)
	}
	fmt.Fprint(s.out, rules.Format(answer.Version, answer.Rules))
	return nil
}

// fetchRules returns the rules of a version, or the rules in force if version is
// negative.
func (o *operatorClient) fetchRules(version int64) (server.Rules, error) {
	path := "/v1/rules"
	if version >= 0 {
		path += "?at=" + strconv.FormatInt(version, 10)
	}
	var answer server.Rules
	err := o.get(path, &answer)
	return answer, err
}

// rulesPublish publishes the edits between a rules file and its base version.
type rulesPublish struct {
	operatorClient
	File    string        `arg:"" type:"existingfile" help:"Rules file, edited from the output of rules show."`
	Who     string        `required:"" help:"Name of the publisher, recorded with the change."`
	Base    int64         `help:"Version that the file was edited from; by default the one named in the file." default:"-1"`
	ID      string        `help:"Id of an earlier publish whose response was lost, to get its verdict."`
	Wait    bool          `help:"Wait until every live node has the rules in force."`
	Timeout time.Duration `help:"How long to wait." default:"20s"`
	JSON    bool          `help:"Print JSON."`
}

// errRefused is returned if the change was refused. The verdict has the reason, such as a
// conflicting change.
var errRefused = errors.New("change was refused")

// Run implements the subcommand.
func (c *rulesPublish) Run(s *streams) error {
	change, err := c.newChange()
	if err != nil {
		return err
	}
	if len(change.Edits) == 0 {
		fmt.Fprintln(s.out, "nothing to publish: the file equals its base version")
		return nil
	}
	verdict, err := c.publish(change)
	if err != nil {
		return fmt.Errorf("publish again with --id %s to get the verdict: %w", change.ID, err)
	}
	if c.JSON {
		if err := printJSON(s, verdict); err != nil {
			return err
		}
	} else {
		printVerdict(s, verdict)
	}
	if !verdict.Accepted {
		return fmt.Errorf("version %d: %w", verdict.Version, errRefused)
	}
	if c.Wait {
		return c.waitForNodes(s, verdict.Version)
	}
	return nil
}

// newChange computes the edits between the file and its base version.
func (c *rulesPublish) newChange() (*rules.Change, error) {
	lines, err := readRules(c.File)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, fmt.Errorf("read rules: %w", err)
	}
	base, known := rules.BaseVersion(string(text))
	if c.Base >= 0 {
		base, known = c.Base, true
	}
	if !known {
		return nil, fmt.Errorf("%s does not name its base version: edit the output of rules show or pass --base", c.File)
	}
	old, err := c.fetchRules(base)
	if err != nil {
		return nil, fmt.Errorf("fetch rules of version %d: %w", base, err)
	}
	id := c.ID
	if id == "" {
		id = uuid.NewString()
	}
	return &rules.Change{ID: id, Who: c.Who, Base: base, Edits: rules.Diff(old.Rules, lines)}, nil
}

func (c *rulesPublish) publish(change *rules.Change) (rules.Verdict, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return rules.Verdict{}, fmt.Errorf("encode change: %w", err)
	}
	data, err := c.do(http.MethodPost, "/v1/rules", body)
	if err != nil {
		return rules.Verdict{}, err
	}
	var v rules.Verdict
	if err := json.Unmarshal(data, &v); err != nil {
		return rules.Verdict{}, fmt.Errorf("decode verdict: %w", err)
	}
	return v, nil
}

func printVerdict(s *streams, v rules.Verdict) {
	if v.Accepted {
		fmt.Fprintf(s.out, "accepted as version %d\n", v.Version)
		return
	}
	fmt.Fprintf(s.out, "refused: %s\n", v.Reason)
	for _, rule := range v.Conflicts {
		fmt.Fprintf(s.out, "  version %d: %s\n", rule.Version, rule.Text)
	}
}

const statusPollInterval = 200 * time.Millisecond

// waitForNodes waits until every live or suspect node that the queried node knows has
// the version, or until the timeout.
func (c *rulesPublish) waitForNodes(s *streams, version int64) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		var status server.Status
		if err := c.get("/v1/status", &status); err != nil {
			return err
		}
		var outdated []string
		for _, n := range status.Nodes {
			if n.Version < version && (n.State == "live" || n.State == "suspect") {
				outdated = append(outdated, n.ID)
			}
		}
		if len(outdated) == 0 {
			fmt.Fprintf(s.out, "version %d is in force on all %d known nodes that are live\n", version, len(status.Nodes))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d is not in force on nodes %s after %s", version, strings.Join(outdated, ", "), c.Timeout)
		}
		time.Sleep(statusPollInterval)
	}
}
