package document

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Problem is one error in a document's text.
type Problem struct {
	Line   int    `json:"line"` // starting at 1; 0: unknown, as for a missing key
	Key    string `json:"key"`  // dotted
	Reason string `json:"reason"`
}

// String returns the problem as "line N: key: reason".
func (p Problem) String() string {
	var parts []string
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Key != "" {
		parts = append(parts, p.Key)
	}
	return strings.Join(append(parts, p.Reason), ": ")
}

// Problems are the errors in a document's text, sorted by line.
type Problems []Problem

// Error implements the error interface.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return "document: " + strings.Join(lines, "; ")
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}

// valueProblem converts a validation error to a Problem with the line of the
// value.
func valueProblem(text string, meta toml.MetaData, p settings.Problem) Problem {
	key := longestKey(meta, p.Key)
	reason := p.Reason
	if meta.IsDefined(key...) {
		reason = fmt.Sprintf("%v: %s", p.Value, p.Reason)
	}
	return Problem{Line: lineOf(text, key), Key: p.Key, Reason: reason}
}

// longestKey returns the TOML key for the dotted name that package settings
// reports. The name may end in an index, as in "accept.kinds[1]", and a team's
// name may contain dots itself, as in "teams[a.b].share".
func longestKey(meta toml.MetaData, name string) toml.Key {
	var best toml.Key
	for _, key := range meta.Keys() {
		if len(key) > len(best) && (dotted(key) == name || strings.HasPrefix(name, dotted(key)+"[")) {
			best = key
		}
	}
	return best
}

// dotted returns a TOML key in the form that package settings reports: team
// names are in brackets.
func dotted(key toml.Key) string {
	if len(key) < 2 || key[0] != "teams" {
		return strings.Join(key, ".")
	}
	name := "teams[" + key[1] + "]"
	return strings.Join(append([]string{name}, key[2:]...), ".")
}

// lineOf returns the line of a key in the text, or 0 if it is not found. The
// TOML library reports lines only in errors, so the value is decoded into a type
// whose decoding always fails.
func lineOf(text string, key toml.Key) int {
	var table map[string]toml.Primitive
	meta, err := toml.Decode(text, &table)
	if err != nil || len(key) == 0 {
		return 0
	}
	for _, part := range key[:len(key)-1] {
		var inner map[string]toml.Primitive
		if meta.PrimitiveDecode(table[part], &inner) != nil {
			return 0
		}
		table = inner
	}
	value, defined := table[key[len(key)-1]]
	if !defined {
		return 0
	}
	var at toml.ParseError
	if errors.As(meta.PrimitiveDecode(value, failingValue{}), &at) {
		return at.Position.Line
	}
	return 0
}

var errLocated = errors.New("located")

// failingValue fails to decode from any TOML value.
type failingValue struct{}

// UnmarshalTOML implements toml.Unmarshaler.
func (failingValue) UnmarshalTOML(any) error { return errLocated }
