// Package settings loads a process's TOML settings file and validates all of it,
// so that one error lists every mistake.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"time"

	"github.com/BurntSushi/toml"
)

// Duration is a time.Duration that is written as text in TOML, such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether s is a valid name of a process, service, team or
// availability zone: 1 to 63 characters of a-z, 0-9, '.', '_' and '-', of which
// the first is a letter or digit.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Load reads the TOML file at path into dst, a pointer to a struct that holds
// the defaults and whose fields have validate tags (see Check). The error lists
// each unknown key, invalid value and missing setting.
func Load(path string, dst any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text), dst)
}

// Parse is like Load for the text of a settings file; path is used only in error
// messages.
func Parse(path, text string, dst any) error {
	meta, err := toml.Decode(text, dst)
	if err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	var problems []error
	for _, key := range meta.Undecoded() {
		problems = append(problems, fmt.Errorf("settings %s: unknown key %s", path, key))
	}
	for _, p := range Check(dst) {
		problems = append(problems, fmt.Errorf("settings %s: %s", path, p))
	}
	return errors.Join(problems...)
}

// validIPPort reports whether s is an address that can be announced to other
// processes: a port and an IP address other than the unspecified one.
func validIPPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return false
	}
	_, err = net.LookupPort("tcp", port)
	return err == nil
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
