package intake

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against connections of callers that are closed before those of clients that do not complete a
// request, and against one that is closed while its request is being served.
func TestConnectionThatMakesWay(t *testing.T) {
	const late = receiveGrace + time.Millisecond
	type other struct {
		phase phase
		age   time.Duration // since the phase began
	}
	for name, test := range map[string]struct {
		others []other
		closed int // index, or that of the new one
	}{
		"late before older idle":            {[]other{{idle, time.Minute}, {receiving, late}}, 1},
		"latest of late":                    {[]other{{receiving, late}, {receiving, 2 * late}, {receiving, late}}, 1},
		"idle before arriving":              {[]other{{receiving, receiveGrace / 2}, {idle, 0}}, 1},
		"longest idle":                      {[]other{{idle, 1}, {idle, 2}, {receiving, 0}}, 1},
		"longest arriving":                  {[]other{{serving, time.Hour}, {receiving, 1}, {receiving, 2}}, 2},
		"new one if all are served":         {[]other{{serving, time.Hour}, {serving, 0}}, 2},
		"none while there is room":          {nil, -1},
		"late before all that are arriving": {[]other{{receiving, 0}, {serving, time.Hour}, {receiving, late}, {idle, time.Hour}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := connTable{limit: max(1, len(test.others))}
			members := make([]*member, len(test.others)+1)
			now := start.Add(2 * time.Hour)
			for age := time.Hour; age >= 0; age = nextYounger(test.others, func(o other) time.Duration { return o.age }, age) {
				for i, o := range test.others {
					if o.age == age {
						members[i] = &member{}
						g.Expect(table.add(now.Add(-age), members[i])).To(BeNil())
						table.move(now.Add(-age), members[i], o.phase)
					}
				}
			}
			members[len(test.others)] = &member{}
			closed := table.add(now, members[len(test.others)])
			if test.closed < 0 {
				g.Expect(closed).To(BeNil())
			} else {
				g.Expect(closed).To(BeIdenticalTo(members[test.closed]))
			}
		})
	}
}

// nextYounger returns the largest age below the given one, or a negative one.
func nextYounger[T any](list []T, age func(T) time.Duration, below time.Duration) time.Duration {
	next := time.Duration(-1)
	for _, o := range list {
		if a := age(o); a < below {
			next = max(next, a)
		}
	}
	return next
}

// Guards against connections that are counted twice, or never again, whatever they do.
func TestConnectionsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := connTable{limit: rapid.IntRange(1, 4).Draw(t, "limit")}
		now := start
		var open, all []*member
		remove := func(m *member) {
			for i, o := range open {
				if o == m {
					open = append(open[:i:i], open[i+1:]...)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				m := &member{}
				closed := table.add(now, m)
				if closed != nil && closed != m && closed.phase == serving {
					t.Fatal("a connection was closed while it is served")
				}
				if closed == nil && len(open) >= table.limit {
					t.Fatal("over the limit")
				}
				remove(closed)
				all = append(all, m)
				if closed != m {
					open = append(open, m)
				}
			},
			"move": func(t *rapid.T) {
				if len(all) > 0 {
					table.move(now, rapid.SampledFrom(all).Draw(t, "member"), rapid.SampledFrom([]phase{receiving, idle, serving}).Draw(t, "phase"))
				}
			},
			"remove": func(t *rapid.T) {
				if len(all) > 0 {
					m := rapid.SampledFrom(all).Draw(t, "member")
					table.remove(m)
					remove(m)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				listed := 0
				for p := range table.order {
					listed += table.order[p].Len()
				}
				inService := 0
				for _, m := range open {
					if m.phase == serving {
						inService++
					}
				}
				if table.count != len(open) || listed != len(open)-inService {
					t.Fatalf("%d connections counted and %d listed, %d open of which %d are served", table.count, listed, len(open), inService)
				}
			},
		})
	})
}
