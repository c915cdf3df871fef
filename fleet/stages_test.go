package fleet

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func stagesAfter(after ...[]int) []Stage {
	stages := make([]Stage, len(after))
	for i, a := range after {
		stages[i] = Stage{Service: "s", After: a}
	}
	return stages
}

func TestStageOrder(t *testing.T) {
	for name, c := range map[string]struct {
		stages  []Stage
		omitted []int
		want    []int
	}{
		"as listed":                  {stagesAfter(nil, []int{0}, []int{0, 1}), nil, []int{0, 1, 2}},
		"reversed":                   {stagesAfter([]int{1}, []int{2}, nil), nil, []int{2, 1, 0}},
		"omitted in the middle":      {stagesAfter([]int{1}, []int{2}, nil), []int{1}, []int{0, 2}},
		"after itself":               {stagesAfter([]int{0}, nil), nil, []int{1}},
		"a cycle and what needs it":  {stagesAfter([]int{1}, []int{0}, []int{1}, nil), nil, []int{3}},
		"a cycle, partly omitted":    {stagesAfter([]int{1}, []int{0}), []int{1}, []int{0}},
		"stage that does not exist":  {stagesAfter([]int{2}, nil), nil, []int{1}},
		"stage before the first one": {stagesAfter([]int{-1}, nil), nil, []int{1}},
		"none":                       {nil, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := Route{Stages: c.stages}
			if got := r.StageOrder(func(i int) bool { return !slices.Contains(c.omitted, i) }); !slices.Equal(got, c.want) {
				t.Errorf("order is %v, want %v", got, c.want)
			}
		})
	}
}

// However the stages are listed, each must follow those that it needs, and none may be missing
// that can run.
func TestStageOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 8).Draw(t, "stages")
		stages := make([]Stage, count)
		for i := range stages {
			stages[i].After = rapid.SliceOfN(rapid.IntRange(-1, count), 0, 2).Draw(t, "after")
		}
		omitted := rapid.SliceOfN(rapid.IntRange(0, 8), 0, 3).Draw(t, "omitted")
		requested := func(i int) bool { return !slices.Contains(omitted, i) }
		r := Route{Stages: stages}
		order := r.StageOrder(requested)
		isReady := func(i int, done []int) bool {
			return !slices.ContainsFunc(stages[i].After, func(p int) bool {
				return p < 0 || p >= count || requested(p) && !slices.Contains(done, p)
			})
		}
		for position, i := range order {
			if !requested(i) || slices.Contains(order[:position], i) || !isReady(i, order[:position]) {
				t.Fatalf("stage %d does not belong at position %d of %v", i, position, order)
			}
		}
		for i := range stages {
			if requested(i) && !slices.Contains(order, i) && isReady(i, order) {
				t.Fatalf("stage %d can run and is not in %v", i, order)
			}
		}
	})
}

func TestDownstream(t *testing.T) {
	r := Route{Stages: stagesAfter([]int{2, 9}, []int{0}, nil, nil, []int{1, -1})}
	for stage, want := range map[int][]bool{
		2: {true, true, false, false, true},
		0: {false, true, false, false, true},
		3: {false, false, false, false, false},
	} {
		if got := r.Downstream(stage); !slices.Equal(got, want) {
			t.Errorf("downstream stages of %d are %v, want %v", stage, got, want)
		}
	}
}

// A configuration must name each of its routes that is not valid, and no other.
func TestCheck(t *testing.T) {
	c := Config{Routes: []Route{
		{Name: "sound", Kind: Safe, Stages: stagesAfter([]int{1}, nil)},
		{Name: "unknown", Kind: "other"},
		{Name: "cycle", Kind: Stream, Stages: stagesAfter([]int{1}, []int{0})},
	}}
	var invalid *InvalidRoutesError
	if err := c.Check(); !errors.As(err, &invalid) {
		t.Fatalf("error is %v, want one of invalid routes", err)
	}
	var names []string
	for _, r := range invalid.Routes {
		names = append(names, r.Route)
	}
	if want := []string{"unknown", "cycle"}; !slices.Equal(names, want) {
		t.Errorf("invalid routes are %v, want %v", names, want)
	}
	c.Routes = c.Routes[:1]
	if err := c.Check(); err != nil {
		t.Errorf("error is %v, want none", err)
	}
}
