package configcheck

import "fmt"

// Differences returns what changes when a configuration replaces the one in force. It
// also reports, as an Error, a version that processes would ignore.
func Differences(inForce, next Config) []Finding {
	var list []Finding
	add := func(kind Kind, place, format string, args ...any) {
		list = append(list, Finding{Kind: kind, Place: place, Reason: fmt.Sprintf(format, args...)})
	}
	if next.Version <= inForce.Version {
		add(Error, "version", "got %d, want more than %d, the version in force", next.Version, inForce.Version)
	}
	before := make(map[string]*Queue, len(inForce.Queues))
	for i := range inForce.Queues {
		before[inForce.Queues[i].Name] = &inForce.Queues[i]
	}
	for i := range next.Queues {
		q := &next.Queues[i]
		old := before[q.Name]
		delete(before, q.Name)
		if old == nil {
			add(Difference, q.Place, "queue %q is new", q.Name)
			continue
		}
		for _, change := range changes(old, q) {
			add(Difference, q.Place, "queue %q: %s", q.Name, change)
		}
	}
	for i := range inForce.Queues {
		if q := &inForce.Queues[i]; before[q.Name] == q {
			add(Difference, q.Place, "queue %q is removed", q.Name)
		}
	}
	return list
}

// changes describes the fields in which two versions of a queue differ.
func changes(old, next *Queue) []string {
	var list []string
	compare := func(field string, before, after any) {
		if before != after {
			list = append(list, fmt.Sprintf("%s %v, was %v", field, after, before))
		}
	}
	compare("host", old.Host, next.Host)
	compare("path prefix", old.Prefix, next.Prefix)
	compare("service", old.Service, next.Service)
	compare("priority", old.Priority, next.Priority)
	compare("attempts", old.Attempts, next.Attempts)
	compare("stretch", old.Stretch, next.Stretch)
	compare("target latency", old.TargetLatency, next.TargetLatency)
	compare("timeout", old.Timeout, next.Timeout)
	compare("advice by another service", old.Advised, next.Advised)
	return list
}
