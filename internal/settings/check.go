package settings

import (
	"fmt"
	"mime"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Problem is a value that fails validation.
type Problem struct {
	Key    string // dotted path in the settings file
	Value  any
	Reason string
}

// String returns the problem as "key = value: reason".
func (p Problem) String() string { return fmt.Sprintf("%s = %v: %s", p.Key, p.Value, p.Reason) }

// Check validates v, a pointer to a struct whose fields have toml and validate
// tags, and returns all problems. In addition to the tags of the validator
// library it supports "name" (see ValidName), "ipport" (an IP address and a
// port), "mediatype" (such as "application/json") and "longest" (a duration from
// zero to the parameter).
func Check(v any) []Problem {
	err := checker.Struct(v)
	if err == nil {
		return nil
	}
	fields, ok := err.(validator.ValidationErrors)
	if !ok {
		panic(err) // programming error: v is not a struct
	}
	problems := make([]Problem, 0, len(fields))
	for _, f := range fields {
		key := fileKey(f.Namespace())
		problems = append(problems, Problem{Key: key, Value: redactToken(key, f.Value()), Reason: reason(f)})
	}
	return problems
}

var checker = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(tomlName)
	must(v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return ValidName(f.Field().String())
	}))
	must(v.RegisterValidation("ipport", func(f validator.FieldLevel) bool {
		return validIPPort(f.Field().String())
	}))
	must(v.RegisterValidation("mediatype", func(f validator.FieldLevel) bool {
		_, _, err := mime.ParseMediaType(f.Field().String())
		return err == nil
	}))
	must(v.RegisterValidation("longest", func(f validator.FieldLevel) bool {
		return f.Field().Kind() == reflect.Int64 && validDuration(f.Field().Int(), f.Param())
	}))
	return v
}

func validDuration(d int64, maxText string) bool {
	limit, err := time.ParseDuration(maxText)
	must(err)
	return d >= 0 && d <= int64(limit)
}

// redactToken replaces the values of token settings, so that secrets do not
// appear in error messages.
func redactToken(key string, value any) any {
	if strings.Contains(key, "token") {
		return "(hidden)"
	}
	return value
}
