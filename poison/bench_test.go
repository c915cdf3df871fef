package poison

import (
	"fmt"
	"testing"
	"time"
)

// full returns a detector with as many suspects and cases as it holds. Each part has
// cases of its own, or all have the same ones.
func full(same bool) *Detector {
	var d Detector
	for i := range maxSuspects {
		for j := range maxCases {
			p := process(j)
			if !same {
				p = process(i*maxCases + j)
			}
			d.Add(start, Case{Part: fmt.Sprint("p", i), Process: p, Weight: Begun})
		}
	}
	return &d
}

func requestParts(count int) []string {
	var parts []string
	for i := range count {
		parts = append(parts, fmt.Sprint("sound", i))
	}
	return parts
}

func BenchmarkMatch(b *testing.B) {
	for _, same := range []bool{false, true} {
		b.Run(fmt.Sprintf("same cases: %v", same), func(b *testing.B) {
			d, parts := full(same), requestParts(32)
			d.Match(start, parts)
			for b.Loop() {
				d.Match(start, parts)
			}
		})
	}
}

func BenchmarkAddThenMatch(b *testing.B) {
	for _, same := range []bool{false, true} {
		b.Run(fmt.Sprintf("same cases: %v", same), func(b *testing.B) {
			d, parts := full(same), requestParts(4)
			i := 0
			for b.Loop() {
				i++
				d.Add(start.Add(time.Duration(i)), Case{Part: fmt.Sprint("new", i), Process: process(1), Weight: Waiting})
				d.Match(start, parts)
			}
		})
	}
}

// BenchmarkAddMany adds the cases that a host reads at its start.
func BenchmarkAddMany(b *testing.B) {
	for b.Loop() {
		var d Detector
		for i := range 4 * maxSuspects {
			d.Add(start.Add(time.Duration(i)), Case{Part: fmt.Sprint("p", i), Process: process(i % 50), Weight: Waiting})
		}
		d.Match(start, nil)
	}
}

// BenchmarkGroups measures how long it takes to derive the sets of parts when many parts and
// requests are held back.
func BenchmarkGroups(b *testing.B) {
	for name, part := range map[string]func(int) string{
		"parts":    func(i int) string { return fmt.Sprint("p", i) },
		"requests": func(i int) string { return Whole(fmt.Sprint(i)) },
	} {
		b.Run(name, func(b *testing.B) {
			var d Detector
			for i := range maxSuspects {
				for j := range 3 + i%4 {
					crash(&d, 8*i+j, Begun, part(i))
				}
			}
			for b.Loop() {
				d.stale = true
				d.refresh()
			}
		})
	}
}
