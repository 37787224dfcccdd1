package document

import (
	"errors"
	"regexp"
	"strconv"

	"github.com/BurntSushi/toml"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Parse reads a document from TOML and checks it as every reader does: keys
// that this program does not know are ignored, they may come from a newer one.
// The error is a Problems.
func Parse(text string) (*Document, error) {
	d, _, problems := parse(text)
	if len(problems) > 0 {
		problems.sort()
		return nil, problems
	}
	return d, nil
}

// ParseStrict is Parse as the publisher does it: an unknown key is a problem too.
func ParseStrict(text string) (*Document, error) {
	d, meta, problems := parse(text)
	for _, key := range meta.Undecoded() {
		problems = append(problems, Problem{
			Line:   lineOf(text, key),
			Key:    key.String(),
			Reason: "unknown key",
		})
	}
	if len(problems) > 0 {
		problems.sort()
		return nil, problems
	}
	return d, nil
}

func parse(text string) (*Document, toml.MetaData, Problems) {
	var d Document
	meta, err := toml.Decode(text, &d)
	if err != nil {
		return nil, toml.MetaData{}, Problems{syntaxProblem(err)}
	}
	var problems Problems
	for _, p := range settings.Check(&d) {
		problems = append(problems, valueProblem(text, meta, p))
	}
	return &d, meta, problems
}

// typeMismatch is the text of the library's error for a value of a wrong type,
// which it gives no fields for.
var typeMismatch = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*)"\): (.*)$`)

// syntaxProblem returns what the TOML library found.
func syntaxProblem(err error) Problem {
	var at toml.ParseError
	if errors.As(err, &at) {
		return Problem{Line: at.Position.Line, Key: at.LastKey, Reason: at.Message}
	}
	if m := typeMismatch.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		return Problem{Line: line, Key: m[2], Reason: m[3]}
	}
	return Problem{Reason: err.Error()}
}
