package placement

// list holds eligible agents in no order. An agent is in one list at most.
type list struct{ agents []*agent }

func (l *list) set(a *agent, eligible bool) {
	switch {
	case eligible && a.list == nil:
		l.agents = append(l.agents, a)
		a.list = l
		a.position = len(l.agents) - 1
	case !eligible && a.list == l:
		last := l.agents[len(l.agents)-1]
		l.agents[a.position] = last
		last.position = a.position
		l.agents = l.agents[:len(l.agents)-1]
		a.list = nil
	}
}
