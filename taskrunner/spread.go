package taskrunner

// countAdmitted adds a task to the counts from which entries learn what others place here.
func (m *Runner) countAdmitted(s *entrySession, r *run) {
	m.admittedCPU += uint64(r.cpu)
	s.admittedCPU += uint64(r.cpu)
}

// othersCPU returns the sum of the sizes of all tasks admitted from other sessions.
func (m *Runner) othersCPU(s *entrySession) uint64 { return m.admittedCPU - s.admittedCPU }
