package tgconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a configuration.
type Problem struct {
	Path   Path
	Reason string
}

// String returns the path and the reason.
func (p Problem) String() string {
	if len(p.Path) == 0 {
		return p.Reason
	}
	return p.Path.String() + ": " + p.Reason
}

// ValidationError lists all problems of a configuration or change.
type ValidationError struct {
	Problems []Problem // sorted, not empty
}

// Error implements error.
func (e *ValidationError) Error() string {
	reasons := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		reasons[i] = p.String()
	}
	return strings.Join(reasons, "; ")
}

// Position is a position in a file.
type Position struct {
	File   string
	Line   int // from 1; 0 if the problem belongs to no line
	Column int // from 1, in bytes
}

// String returns file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// FileProblem is a problem with its position in the files.
type FileProblem struct {
	Position
	Problem
}

// String returns the position, the path and the reason.
func (p FileProblem) String() string { return p.Position.String() + ": " + p.Problem.String() }

// FileError lists all problems of a set of files.
type FileError struct {
	Problems []FileProblem // sorted, not empty
}

// Error implements error; it has one line for each problem.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func compareProblems(a, b Problem) int {
	return cmp.Or(slices.Compare(a.Path, b.Path), strings.Compare(a.Reason, b.Reason))
}

// compareFileProblems orders problems by file, in the order of files, then by position, path and reason.
func compareFileProblems(files []File) func(a, b FileProblem) int {
	order := map[string]int{}
	for i, f := range files {
		order[f.Name] = i
	}
	return func(a, b FileProblem) int {
		return cmp.Or(
			cmp.Compare(order[a.File], order[b.File]), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			compareProblems(a.Problem, b.Problem),
		)
	}
}
