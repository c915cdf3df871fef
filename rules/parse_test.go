package rules

import (
	"strings"
	"testing"
)

const validRules = `
# only a comment
policy   default  retry=15% hedge=no  # weekly call
model    draft    version=v3          # Marlene
stage    encode   kind=encoder        # Marlene
stage    retrieve kind=retriever      # Marlene
stage    generate kind=generator model=draft # Marlene
pipeline drafts   stages=encode,retrieve,generate deadline=5s tokens=64 # Marlene
service  filing   repeat=never deadline=3s # court liaison
account  kingston weight=4 token=sha256:` + hash0 + ` # office
`

const hash0 = "0000000000000000000000000000000000000000000000000000000000000000"

// compile parses and compiles a text.
func compile(text string) (*Set, error) {
	lines, err := Parse("rules.txt", text)
	if err != nil {
		return nil, err
	}
	return Compile(lines)
}

func TestCompile(t *testing.T) {
	set, err := compile(validRules)
	if err != nil {
		t.Fatal(err)
	}
	p := set.Pipelines["drafts"]
	if p == nil || len(p.Stages) != 3 || p.Stages[2].Model != "draft" || p.MaxTokens != 64 {
		t.Errorf("pipeline drafts is %+v", p)
	}
	if set.Policy.RetryPercent != 15 || set.Policy.Hedge || !set.Policy.Admission {
		t.Errorf("policy is %+v", set.Policy)
	}
	if a, ok := set.AccountByToken(hash0); !ok || a.Name != "kingston" || a.Weight != 4 {
		t.Errorf("account by token is %+v, %v", a, ok)
	}
	if v := set.Services["filing"]; v == nil || !v.AtMostOnce || v.Fenced {
		t.Errorf("service filing is %+v", v)
	}
}

func TestErrors(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"no comment", "stage a kind=encoder", []string{"rules.txt:1:21: rule has no comment"}},
		{"empty comment", "stage a kind=encoder #  ", []string{"rules.txt:1:22: rule has no comment"}},
		{"unknown kind", "stag a kind=encoder # x", []string{`rules.txt:1:1: kind of rule "stag" does not exist`}},
		{"no name", "stage # x", []string{`rules.txt:1:1: rule of kind "stage" has no name`}},
		{"bad name", "stage a/b kind=encoder # x", []string{`rules.txt:1:7: name "a/b" contains '/'`}},
		{"unknown attribute", "stage a kind=encoder size=3 # x", []string{`rules.txt:1:22: attribute "size" does not exist for kind "stage"`}},
		{"not name=value", "stage a encoder kind=encoder # x", []string{`rules.txt:1:9: "encoder" is not of the form name=value`}},
		{"duplicate attribute", "stage a kind=encoder kind=encoder # x", []string{`rules.txt:1:22: attribute "kind" is given twice`}},
		{"missing attribute", "stage a # x", []string{`rules.txt:1:1: rule "stage a" has no attribute "kind"`}},
		{"unknown value", "stage a kind=decoder # x", []string{`rules.txt:1:14: attribute "kind": "decoder" is not one of`}},
		{"not a percentage", "policy default retry=10 # x", []string{`rules.txt:1:22: attribute "retry": "10" is not a percentage`}},
		{"not a duration", "service a repeat=safe deadline=5 # x", []string{`rules.txt:1:32: attribute "deadline": "5" is not a duration`}},
		{"defined twice", "stage a kind=encoder # x\nstage a kind=encoder # x", []string{`rules.txt:2:1: rule "stage a" is already defined at rules.txt:1:1`}},
		{"too few stages", "pipeline p stages=a,b deadline=1s # x", []string{`rules.txt:1:19: attribute "stages": pipeline has 2 stages`}},
		{"unknown stages", "pipeline p stages=a,b,c deadline=1s # x", []string{
			`rules.txt:1:19: stage "a" does not exist`,
			`rules.txt:1:21: stage "b" does not exist`,
			`rules.txt:1:23: stage "c" does not exist`,
		}},
		{"unknown model", "stage a kind=generator model=m # x", []string{`rules.txt:1:24: model "m" does not exist`}},
		{"fenced without lookup", "service a repeat=never deadline=1s fenced=yes # x", []string{`rules.txt:1:1: service "a" has fenced=yes but no lookup=yes`}},
		{"three errors", "stage a kind=x # x\nservice b deadline=1s # x\nnonsense\n", []string{
			`rules.txt:1:14: attribute "kind": "x" is not one of`,
			`rules.txt:2:1: rule "service b" has no attribute "repeat"`,
			`rules.txt:3:1: kind of rule "nonsense" does not exist`,
		}},
		{"same token", "account a weight=1 token=sha256:" + hash0 + " # x\naccount b weight=1 token=sha256:" + hash0 + " # x", []string{
			`rules.txt:2:20: account "b" has the same token as account "a"`,
		}},
		{"long line", "stage a kind=encoder # " + strings.Repeat("x", MaxLineBytes), []string{"rules.txt:1:1: line has"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := compile(test.text)
			checkErrors(t, err, test.want)
		})
	}
}

// checkErrors fails the test unless the text of err contains every string of want.
func checkErrors(t *testing.T, err error, want []string) {
	t.Helper()
	if err == nil {
		t.Fatal("no error was reported")
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("errors:\n%v\ndo not contain %q", err, w)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validRules)
	f.Add("stage a kind=encoder #")
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		for _, l := range lines {
			again, err := ParseLine(l.Text)
			if err != nil || again.ID != l.ID || again.Text != l.Text {
				t.Fatalf("canonical line %q parses as %+v, %v", l.Text, again, err)
			}
		}
	})
}
