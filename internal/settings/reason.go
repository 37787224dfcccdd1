package settings

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// tomlName returns the key of a field in the settings file, or embedded for an
// embedded struct.
func tomlName(f reflect.StructField) string {
	if f.Anonymous {
		return embedded
	}
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// embedded is the placeholder for an embedded struct in the path of a field. In
// the settings file, the keys of an embedded struct have no table of their own.
const embedded = "<embedded>"

// fileKey returns a field's dotted key in the settings file, given the
// validator's namespace of the field.
func fileKey(namespace string) string {
	_, key, _ := strings.Cut(namespace, ".")
	return strings.ReplaceAll(key, embedded+".", "")
}

// reason describes the requirement that a value did not meet.
func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "missing"
	case "name":
		return "want 1 to 63 of a-z, 0-9, '.', '_', '-'"
	case "ipport":
		return "want an IP address that others can dial, and a port"
	case "min", "gte":
		return "want at least " + f.Param()
	case "max", "lte":
		return "want at most " + f.Param()
	case "oneof":
		return "want one of " + f.Param()
	case "mediatype":
		return "want a media type, such as application/json"
	case "longest":
		return "want 0s to " + f.Param()
	case "url", "http_url":
		return "want an http URL"
	}
	return "fails the check " + f.Tag() + " " + f.Param()
}
