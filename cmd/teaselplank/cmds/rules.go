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

// rulesCheck checks a file without a node.
type rulesCheck struct {
	File string `arg:"" type:"existingfile" help:"The rules file."`
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

// readRules returns the rules of a file, checked by themselves and together.
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
	operator
	At   int64 `help:"Print those of this version." default:"-1"`
	JSON bool  `help:"Print JSON."`
}

// Run implements the subcommand.
func (c *rulesShow) Run(s *streams) error {
	answer, err := c.fetch(c.At)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, answer)
	}
	fmt.Fprint(s.out, rules.Format(answer.Version, answer.Rules))
	return nil
}

// fetch returns the rules of a version, or those in force for a negative one.
func (o *operator) fetch(version int64) (server.Rules, error) {
	path := "/v1/rules"
	if version >= 0 {
		path += "?at=" + strconv.FormatInt(version, 10)
	}
	var answer server.Rules
	err := o.get(path, &answer)
	return answer, err
}

// rulesPublish publishes a file that was edited from a version.
type rulesPublish struct {
	operator
	File    string        `arg:"" type:"existingfile" help:"The rules file, as edited from the output of rules show."`
	Who     string        `required:"" help:"Who publishes."`
	Base    int64         `help:"Version that was edited, where the file does not name it." default:"-1"`
	ID      string        `help:"Id of a publish whose answer was lost, to learn its verdict."`
	Wait    bool          `help:"Wait until every live node has the rules in force."`
	Timeout time.Duration `help:"How long to wait." default:"20s"`
	JSON    bool          `help:"Print JSON."`
}

// errRefused is the failure of a publish that lost against another.
var errRefused = errors.New("change was refused")

// Run implements the subcommand.
func (c *rulesPublish) Run(s *streams) error {
	change, err := c.change()
	if err != nil {
		return err
	}
	if len(change.Edits) == 0 {
		fmt.Fprintln(s.out, "nothing to publish: the file equals the rules it was edited from")
		return nil
	}
	verdict, err := c.publish(change)
	if err != nil {
		return fmt.Errorf("publish again with --id %s to learn the verdict: %w", change.ID, err)
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
		return c.wait(s, verdict.Version)
	}
	return nil
}

// change works out the edits from the file and the version it was edited from.
func (c *rulesPublish) change() (*rules.Change, error) {
	lines, err := readRules(c.File)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, fmt.Errorf("read rules: %w", err)
	}
	base, named := rules.BaseVersion(string(text))
	if c.Base >= 0 {
		base, named = c.Base, true
	}
	if !named {
		return nil, fmt.Errorf("%s does not name the version it was edited from: start from rules show, or give --base", c.File)
	}
	old, err := c.fetch(base)
	if err != nil {
		return nil, fmt.Errorf("rules of version %d: %w", base, err)
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
	for _, h := range v.Conflicts {
		fmt.Fprintf(s.out, "  version %d: %s\n", h.Version, h.Text)
	}
}

const waitPause = 200 * time.Millisecond

// wait returns once every live node that the asked one knows has the version.
func (c *rulesPublish) wait(s *streams, version int64) error {
	end := time.Now().Add(c.Timeout)
	for {
		var status server.Status
		if err := c.get("/v1/status", &status); err != nil {
			return err
		}
		var behind []string
		for _, n := range status.Nodes {
			if n.Version < version && (n.State == "live" || n.State == "suspect") {
				behind = append(behind, n.ID)
			}
		}
		if len(behind) == 0 {
			fmt.Fprintf(s.out, "version %d is in force on all %d known nodes that are live\n", version, len(status.Nodes))
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("version %d is not in force on nodes %s after %s", version, strings.Join(behind, ", "), c.Timeout)
		}
		time.Sleep(waitPause)
	}
}
