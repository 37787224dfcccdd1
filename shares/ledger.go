package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Ledger keeps what the callers of one entry ask for and get, by queue. The zero value is
// ready to use. It is not safe for concurrent use.
type Ledger struct {
	Policy   Policy // SharesThenPriority if nil
	accounts map[string]*account
	asked    meter // by all queues, recently
	late     meter // of asked, by jobs that were expected to end late

	allottedAt time.Time // when capacity was divided between the queues
	scarce     bool      // less was served then than asked for
}

// Demand is what a job asks for.
type Demand struct {
	Queue    string
	Priority int // of the queue; 0 first
	Tasks    int
	Work     float64 // core-seconds
}

// account is what is kept of one queue. All but usual are recent.
type account struct {
	queue         string
	priority      int
	asked, served meter
	usual         meter // demand over a longer time
	jobs, tasks   meter // asked for
	largeAsked    meter // of asked, by large jobs
	largeServed   meter
	allotted      float64 // core-seconds of what was served recently; only while capacity is scarce
}

// large reports whether jobs of so many tasks are large ones of the queue.
func (a *account) large(now time.Time, tasks int) bool {
	jobs := a.jobs.decayed(now, recentTime)
	return jobs > 0 && float64(tasks) >= largeFactor*a.tasks.decayed(now, recentTime)/jobs
}

// Ask records a job that a caller has submitted.
func (l *Ledger) Ask(now time.Time, d Demand) {
	if l.accounts == nil || len(l.accounts) >= maxAccounts && l.accounts[d.Queue] == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[d.Queue]
	if a == nil {
		a = &account{queue: d.Queue}
		l.accounts[d.Queue] = a
	}
	a.priority = d.Priority
	l.asked.add(now, d.Work, recentTime)
	a.asked.add(now, d.Work, recentTime)
	a.usual.add(now, d.Work, usualTime)
	a.jobs.add(now, 1, recentTime)
	a.tasks.add(now, float64(d.Tasks), recentTime)
	if a.large(now, d.Tasks) {
		a.largeAsked.add(now, d.Work, recentTime)
	}
}

// Serve records that a job was admitted.
func (l *Ledger) Serve(now time.Time, d Demand) {
	a := l.accounts[d.Queue]
	if a == nil {
		return
	}
	a.served.add(now, d.Work, recentTime)
	if a.large(now, d.Tasks) {
		a.largeServed.add(now, d.Work, recentTime)
	}
}

// ExpectLate records that a job was expected to miss its objective, admitted or not.
func (l *Ledger) ExpectLate(now time.Time, d Demand) { l.late.add(now, d.Work, recentTime) }

// Short reports whether less than shortageShare of what was asked for recently could end
// in time. It follows from the states of the agents, not from what this entry has refused,
// so that entries agree.
func (l *Ledger) Short(now time.Time) bool {
	return l.late.decayed(now, recentTime) > (1-shortageShare)*l.asked.decayed(now, recentTime)
}

// Served returns the recent rate of admitted work, in cores.
func (l *Ledger) Served(now time.Time, queue string) float64 {
	if a := l.accounts[queue]; a != nil {
		return a.served.rate(now, recentTime)
	}
	return 0
}

// Owes reports whether less than the floor of the queue's recent demand was served, or, for
// a large job, less than of the other jobs of its queue. Its own size does not count
// otherwise.
func (l *Ledger) Owes(now time.Time, d Demand) bool {
	a := l.accounts[d.Queue]
	if a == nil {
		return false
	}
	asked, served := a.asked.decayed(now, recentTime), a.served.decayed(now, recentTime)
	if served < floor*asked {
		return true
	}
	largeAsked, largeServed := a.largeAsked.decayed(now, recentTime), a.largeServed.decayed(now, recentTime)
	return a.large(now, d.Tasks) && largeServed*asked < sizeShare*served*largeAsked
}

// Exceeds reports whether the queue got more than its allotment of what was served
// recently, while less was served than asked for: it takes capacity from others.
func (l *Ledger) Exceeds(now time.Time, queue string) bool {
	a := l.accounts[queue]
	if a == nil {
		return false
	}
	if now.Sub(l.allottedAt) >= allotmentTime {
		l.allot(now)
	}
	return l.scarce && a.served.decayed(now, recentTime) > a.allotted
}

// allot divides what was served recently between the queues.
func (l *Ledger) allot(now time.Time) {
	accounts := l.sorted()
	needs := make([]Need, len(accounts))
	asked, served := 0.0, 0.0
	for i, a := range accounts {
		needs[i] = Need{Asked: a.asked.decayed(now, recentTime), Usual: a.usual.rate(now, usualTime)}
		asked += needs[i].Asked
		served += a.served.decayed(now, recentTime)
	}
	l.allottedAt, l.scarce = now, served < shortageShare*asked
	if !l.scarce {
		return
	}
	policy := l.Policy
	if policy == nil {
		policy = SharesThenPriority
	}
	for i, allotted := range policy(needs, served) {
		accounts[i].allotted = allotted
	}
}

// sorted returns the accounts by priority.
func (l *Ledger) sorted() []*account {
	return slices.SortedFunc(maps.Values(l.accounts), func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.queue, b.queue))
	})
}

// Surplus reports whether the queue's recent demand is far above its usual one. A queue
// whose usual demand is not known yet has no surplus.
func (l *Ledger) Surplus(now time.Time, queue string) bool {
	a := l.accounts[queue]
	if a == nil || now.Sub(a.usual.started) < usualTime {
		return false
	}
	return a.asked.rate(now, recentTime) > surplusFactor*a.usual.rate(now, usualTime)
}

// Row is the account of one queue for operators, in cores.
type Row struct {
	Queue    string  `json:"queue"`
	Priority int     `json:"priority"`
	Asked    float64 `json:"asked_cores"`  // recently
	Served   float64 `json:"served_cores"` // recently
	Usual    float64 `json:"usual_cores"`  // asked for over a longer time
	Exceeds  bool    `json:"exceeds"`      // got more than its allotment under shortage
}

// Rows returns the accounts by priority.
func (l *Ledger) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(l.accounts))
	for _, a := range l.sorted() {
		rows = append(rows, Row{
			Queue: a.queue, Priority: a.priority, Asked: a.asked.rate(now, recentTime), Served: a.served.rate(now, recentTime),
			Usual: a.usual.rate(now, usualTime), Exceeds: l.Exceeds(now, a.queue),
		})
	}
	return rows
}
