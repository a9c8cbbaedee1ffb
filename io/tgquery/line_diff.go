package tgquery

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// LineDiff is the difference between two lists of settings, with one setting a line.
type LineDiff struct {
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

// CompareLines returns the difference between two sorted lists of settings.
func CompareLines(from, to []string) LineDiff {
	missingFrom := func(lines, others []string) []string {
		result := []string{}
		for _, line := range lines {
			if _, found := slices.BinarySearch(others, line); !found {
				result = append(result, line)
			}
		}
		return result
	}
	return LineDiff{Added: missingFrom(to, from), Removed: missingFrom(from, to)}
}

// Print writes removed lines with - and added lines with +, sorted by key; a key's old value comes before its new one.
func (d LineDiff) Print(w io.Writer) {
	type change struct{ line, sign string }
	changes := make([]change, 0, len(d.Removed)+len(d.Added))
	for _, line := range d.Removed {
		changes = append(changes, change{line, "-"})
	}
	for _, line := range d.Added {
		changes = append(changes, change{line, "+"})
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		keyA, _, _ := strings.Cut(a.line, " = ")
		keyB, _, _ := strings.Cut(b.line, " = ")
		return strings.Compare(keyA, keyB)
	})
	for _, c := range changes {
		fmt.Fprintf(w, "%s %s\n", c.sign, c.line)
	}
}
