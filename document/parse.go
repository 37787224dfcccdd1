package document

import (
	"errors"
	"regexp"
	"strconv"

	"github.com/BurntSushi/toml"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Parse parses a document from TOML and validates it. Unknown keys are ignored:
// a newer version of the program may have accepted them. The error is a
// Problems.
func Parse(text string) (*Document, error) {
	d, _, problems := parse(text)
	if len(problems) > 0 {
		problems.sort()
		return nil, problems
	}
	return d, nil
}

// ParseStrict is Parse for texts that are to be published: unknown keys are
// problems too.
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
		return nil, toml.MetaData{}, Problems{decodeProblem(err)}
	}
	var problems Problems
	for _, p := range settings.Check(&d) {
		problems = append(problems, valueProblem(text, meta, p))
	}
	return &d, meta, problems
}

// typeMismatch matches the text of the TOML library's error for a value of the
// wrong type. That error is not a toml.ParseError, so its line and key have to
// be taken from the text.
var typeMismatch = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*)"\): (.*)$`)

// decodeProblem converts an error of the TOML library to a Problem.
func decodeProblem(err error) Problem {
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
