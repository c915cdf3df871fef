package rules

import (
	"fmt"
	"strings"
)

// defaultMaxTokens applies if the pipeline's rule has no attribute tokens.
const defaultMaxTokens = 256

// Compile validates the lines together and returns their Set, or all errors as
// Errors.
func Compile(lines []*Line) (*Set, error) {
	s := &Set{
		Pipelines:       make(map[string]*Pipeline),
		Stages:          make(map[string]*Stage),
		Services:        make(map[string]*Service),
		Accounts:        make(map[string]*Account),
		Models:          make(map[string]*Model),
		Policy:          DefaultPolicy,
		accountsByToken: make(map[string]*Account),
	}
	var errs Errors
	for _, l := range lines {
		errs = append(errs, s.add(l)...)
	}
	for _, l := range lines {
		errs = append(errs, s.resolve(l)...)
	}
	if err := errs.errorOrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

// add adds the rule of a line, except for a pipeline, which refers to other rules.
func (s *Set) add(l *Line) Errors {
	name := l.ID.Name
	switch l.ID.Kind {
	case KindStage:
		s.Stages[name] = &Stage{
			Name:  name,
			Kind:  StageKind(l.text("kind", "")),
			Model: l.text("model", ""),
			Hedge: l.flag("hedge", true),
		}
	case KindService:
		s.Services[name] = &Service{
			Name:       name,
			AtMostOnce: l.text("repeat", "never") == "never",
			Fenced:     l.flag("fenced", false),
			Lookup:     l.flag("lookup", false),
			Deadline:   l.duration("deadline"),
		}
	case KindModel:
		s.Models[name] = &Model{
			Name:    name,
			Version: l.text("version", ""),
			Adapter: l.text("adapter", ""),
			Fenced:  l.flag("fenced", false),
		}
	case KindPolicy:
		return s.addPolicy(l)
	case KindAccount:
		return s.addAccount(l)
	}
	return nil
}

func (s *Set) addPolicy(l *Line) Errors {
	if l.ID.Name != DefaultPolicy.Name {
		return Errors{{l.Pos, fmt.Sprintf("policy %q does not exist, only %q", l.ID.Name, DefaultPolicy.Name)}}
	}
	s.Policy = Policy{
		Name:         l.ID.Name,
		RetryPercent: l.number("retry", DefaultPolicy.RetryPercent),
		Hedge:        l.flag("hedge", DefaultPolicy.Hedge),
		Admission:    l.flag("admission", DefaultPolicy.Admission),
	}
	return nil
}

func (s *Set) addAccount(l *Line) Errors {
	a := &Account{
		Name:   l.ID.Name,
		Weight: l.number("weight", 1),
		Token:  strings.TrimPrefix(l.text("token", ""), tokenPrefix),
	}
	if other, duplicate := s.accountsByToken[a.Token]; duplicate {
		message := fmt.Sprintf("account %q has the same token as account %q", a.Name, other.Name)
		return Errors{{l.attrs["token"].pos, message}}
	}
	s.Accounts[a.Name] = a
	s.accountsByToken[a.Token] = a
	return nil
}

// resolve validates the references of a line to other lines and adds pipelines.
func (s *Set) resolve(l *Line) Errors {
	switch l.ID.Kind {
	case KindPipeline:
		return s.addPipeline(l)
	case KindService:
		return s.checkService(l)
	case KindStage:
		model := l.text("model", "")
		if _, ok := s.Models[model]; model != "" && !ok {
			return Errors{{l.attrs["model"].pos, fmt.Sprintf("model %q does not exist", model)}}
		}
		if _, ok := s.Services[l.ID.Name]; ok {
			return Errors{{l.Pos, fmt.Sprintf("stage %q has the name of a service", l.ID.Name)}}
		}
	}
	return nil
}

func (s *Set) checkService(l *Line) Errors {
	v := s.Services[l.ID.Name]
	if v.Fenced && !v.Lookup {
		return Errors{{l.Pos, fmt.Sprintf("service %q has fenced=yes but no lookup=yes", v.Name)}}
	}
	return nil
}

func (s *Set) addPipeline(l *Line) Errors {
	p := &Pipeline{
		Name:      l.ID.Name,
		Deadline:  l.duration("deadline"),
		MaxTokens: l.number("tokens", defaultMaxTokens),
	}
	a := l.attrs["stages"]
	column := a.pos.Column + len("stages=")
	var errs Errors
	for _, name := range strings.Split(a.value, ",") {
		stage, ok := s.Stages[name]
		if !ok {
			pos := Position{File: a.pos.File, Line: a.pos.Line, Column: column}
			errs = append(errs, &Error{pos, fmt.Sprintf("stage %q does not exist", name)})
		} else {
			p.Stages = append(p.Stages, *stage)
		}
		column += len(name) + 1
	}
	s.Pipelines[p.Name] = p
	return errs
}
