// Package configcheck checks a configuration before operators send it: for errors, for
// queues that no request can reach, for limits that contradict each other, and for what
// differs from the version in force. It does no I/O.
package configcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/routing"
)

// Config is a version of the configuration with the places of its parts in the text.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
}

// Queue is a queue of the configuration.
type Queue struct {
	routing.Queue
	Place string // in the text
	// Timeout is how long callers may wait for an answer; zero if not limited.
	Timeout time.Duration
}

// Service is a service of the configuration.
type Service struct {
	Name  string
	Place string // in the text
}

// Kind is the kind of a Finding.
type Kind string

// Kinds of findings.
const (
	Error         Kind = "error"         // no process takes the configuration, or the queue never works
	Unreachable   Kind = "unreachable"   // no request can match the queue
	Contradiction Kind = "contradiction" // limits that cannot all be kept
	Difference    Kind = "difference"    // from the version in force; not a fault
)

// Finding is one result of a check.
type Finding struct {
	Kind   Kind   `json:"kind"`
	Place  string `json:"place"`
	Reason string `json:"reason"`
}

// String returns the finding as "kind: place: reason".
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Kind, f.Place, f.Reason) }

// Check returns what is wrong with a configuration, in the order of its text.
func Check(c Config) []Finding {
	k := checker{services: make(map[string]bool), names: make(map[string]string), routes: make(map[string]string)}
	if c.Version <= 0 {
		k.add(Error, "version", "got %d, want a positive number", c.Version)
	}
	for _, s := range c.Services {
		if s.Name == "" {
			k.add(Error, s.Place, "the service has no name")
		}
		if k.services[s.Name] {
			k.add(Error, s.Place, "service %q is defined twice", s.Name)
		}
		k.services[s.Name] = true
	}
	for i := range c.Queues {
		k.checkIdentity(&c.Queues[i])
		k.checkReach(&c.Queues[i])
		k.checkLimits(&c.Queues[i])
	}
	return k.findings
}

type checker struct {
	findings []Finding
	services map[string]bool   // defined, by name
	names    map[string]string // place of the first queue of each name
	routes   map[string]string // place of the first queue of each host and prefix
}

func (k *checker) add(kind Kind, place, format string, args ...any) {
	k.findings = append(k.findings, Finding{Kind: kind, Place: place, Reason: fmt.Sprintf(format, args...)})
}

func (k *checker) checkIdentity(q *Queue) {
	if q.Name == "" {
		k.add(Error, q.Place, "the queue has no name")
	} else if first, ok := k.names[q.Name]; ok {
		k.add(Error, q.Place, "queue %q is defined at %s already", q.Name, first)
	} else {
		k.names[q.Name] = q.Place
	}
	if q.Prefix == "" {
		k.add(Error, q.Place, "the queue has no path prefix")
	}
	if !k.services[q.Service] {
		k.add(Error, q.Place, "service %q is not defined", q.Service)
	}
	if q.Priority < 0 {
		k.add(Error, q.Place, "got priority %d, want 0 or more", q.Priority)
	}
}

// checkReach reports queues that no request matches. Of queues with the same host and
// prefix the first takes all requests; a longer prefix is never hidden by a shorter one.
func (k *checker) checkReach(q *Queue) {
	route := strings.ToLower(q.Host) + " " + q.Prefix
	first, taken := k.routes[route]
	switch {
	case q.Prefix == "":
		return
	case !strings.HasPrefix(q.Prefix, "/"):
		k.add(Unreachable, q.Place, "path prefix %q does not begin with a slash, as all paths do", q.Prefix)
	case strings.ContainsAny(q.Prefix, "?#"):
		k.add(Unreachable, q.Place, "path prefix %q contains a character that no path contains", q.Prefix)
	case q.Host == "":
		k.add(Unreachable, q.Place, "the queue has no host")
	case strings.Contains(q.Host, ":"):
		k.add(Unreachable, q.Place, "host %q contains a port, which requests are matched without", q.Host)
	case taken:
		k.add(Unreachable, q.Place, "the queue at %s takes all requests for host %q and path prefix %q", first, q.Host, q.Prefix)
	default:
		k.routes[route] = q.Place
	}
}

func (k *checker) checkLimits(q *Queue) {
	if q.Attempts < 1 {
		k.add(Contradiction, q.Place, "got %d attempts, so that a job fails before its tasks are started; want at least 1", q.Attempts)
	}
	if q.Stretch <= 0 || q.TargetLatency < 0 {
		k.add(Contradiction, q.Place, "stretch %g and target latency %v give no latency objective", q.Stretch, q.TargetLatency)
	} else if q.Stretch < 1 {
		k.add(Contradiction, q.Place, "stretch %g allows a job less time than its tasks run; want at least 1", q.Stretch)
	}
	if q.Timeout < 0 {
		k.add(Contradiction, q.Place, "got a timeout of %v, want 0 or more", q.Timeout)
	}
	if q.Timeout > 0 && q.TargetLatency >= q.Timeout {
		k.add(Contradiction, q.Place, "target latency %v is not shorter than the timeout of %v", q.TargetLatency, q.Timeout)
	}
}
