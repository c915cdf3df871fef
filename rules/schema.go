package rules

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// An attr is the value of an attribute and its position.
type attr struct {
	value string
	pos   Position
}

// An attrSpec describes an attribute of a kind of rule.
type attrSpec struct {
	name     string
	required bool
	check    func(value string) error
}

// schema lists the attributes of each kind of rule.
var schema = map[Kind][]attrSpec{
	KindPipeline: {
		{name: "stages", required: true, check: checkStages},
		{name: "deadline", required: true, check: checkDuration},
		{name: "tokens", check: checkRange(1, 100000)},
	},
	KindStage: {
		{name: "kind", required: true, check: checkOneOf(string(Encoder), string(Retriever), string(Reranker), string(Generator))},
		{name: "model", check: checkName},
		{name: "hedge", check: checkOneOf("yes", "no")},
	},
	KindService: {
		{name: "repeat", required: true, check: checkOneOf("never", "safe")},
		{name: "deadline", required: true, check: checkDuration},
		{name: "fenced", check: checkOneOf("yes", "no")},
		{name: "lookup", check: checkOneOf("yes", "no")},
	},
	KindAccount: {
		{name: "weight", required: true, check: checkRange(1, 1000000)},
		{name: "token", required: true, check: checkToken},
	},
	KindModel: {
		{name: "version", required: true, check: checkName},
		{name: "adapter", check: checkName},
		{name: "fenced", check: checkOneOf("yes", "no")},
	},
	KindPolicy: {
		{name: "retry", check: checkPercent},
		{name: "hedge", check: checkOneOf("yes", "no")},
		{name: "admission", check: checkOneOf("yes", "no")},
	},
}

// Limits on the number of stages of a pipeline.
const (
	minStages = 3
	maxStages = 6
)

// maxDeadline limits the deadline of a pipeline or service.
const maxDeadline = 10 * time.Minute

const maxNameBytes = 64

func isNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', '0' <= c && c <= '9':
		return true
	case 'A' <= c && c <= 'Z', c == '-', c == '_', c == '.':
		return true
	}
	return false
}

func checkName(value string) error {
	if value == "" {
		return fmt.Errorf("name is empty")
	}
	if len(value) > maxNameBytes {
		return fmt.Errorf("name %q is longer than %d bytes", value, maxNameBytes)
	}
	for i := 0; i < len(value); i++ {
		if !isNameByte(value[i]) {
			return fmt.Errorf("name %q contains %q", value, value[i])
		}
	}
	return nil
}

func checkStages(value string) error {
	names := strings.Split(value, ",")
	if len(names) < minStages || len(names) > maxStages {
		return fmt.Errorf("pipeline has %d stages, not %d to %d", len(names), minStages, maxStages)
	}
	for _, n := range names {
		if err := checkName(n); err != nil {
			return fmt.Errorf("list of stages: %w", err)
		}
	}
	return nil
}

func checkDuration(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 5s", value)
	}
	if d <= 0 || d > maxDeadline {
		return fmt.Errorf("duration %s is not above 0 and at most %s", d, maxDeadline)
	}
	return nil
}

func checkRange(low, high int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is not in %d to %d", n, low, high)
		}
		return nil
	}
}

func checkPercent(value string) error {
	number, found := strings.CutSuffix(value, "%")
	if !found {
		return fmt.Errorf("%q is not a percentage such as 10%%", value)
	}
	return checkRange(0, 100)(number)
}

func checkOneOf(choices ...string) func(string) error {
	return func(value string) error {
		for _, c := range choices {
			if value == c {
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", value, strings.Join(choices, ", "))
	}
}

const tokenPrefix = "sha256:"

func checkToken(value string) error {
	digits, found := strings.CutPrefix(value, tokenPrefix)
	if !found || len(digits) != 64 {
		return fmt.Errorf("token is not %s and 64 hexadecimal digits", tokenPrefix)
	}
	for i := 0; i < len(digits); i++ {
		if !strings.ContainsRune("0123456789abcdef", rune(digits[i])) {
			return fmt.Errorf("token contains %q, not a lower-case hexadecimal digit", digits[i])
		}
	}
	return nil
}

func (l *Line) text(name, fallback string) string {
	if a, ok := l.attrs[name]; ok {
		return a.value
	}
	return fallback
}

func (l *Line) flag(name string, fallback bool) bool {
	a, ok := l.attrs[name]
	if !ok {
		return fallback
	}
	return a.value == "yes"
}

// number and duration parse values that the schema has already validated.
func (l *Line) number(name string, fallback int) int {
	a, ok := l.attrs[name]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(strings.TrimSuffix(a.value, "%"))
	if err != nil {
		return fallback
	}
	return n
}

func (l *Line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.attrs[name].value)
	if err != nil {
		return 0
	}
	return d
}
