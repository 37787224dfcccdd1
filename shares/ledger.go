package shares

import (
	"maps"
	"slices"
	"time"
)

// Ledger keeps what the callers of one entry ask for and get, by queue. Work is in
// core-seconds. The zero value is ready to use. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
}

type account struct {
	asked, served meter // recent
	usual         meter // demand over a longer time
}

// Ask records the demand of a job that a caller has submitted.
func (l *Ledger) Ask(now time.Time, queue string, work float64) {
	if l.accounts == nil || len(l.accounts) >= maxAccounts && l.accounts[queue] == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[queue]
	if a == nil {
		a = &account{}
		l.accounts[queue] = a
	}
	a.asked.add(now, work, recentTime)
	a.usual.add(now, work, usualTime)
}

// Serve records that a job was admitted.
func (l *Ledger) Serve(now time.Time, queue string, work float64) {
	if a := l.accounts[queue]; a != nil {
		a.served.add(now, work, recentTime)
	}
}

// Served returns the recent rate of admitted work, in cores.
func (l *Ledger) Served(now time.Time, queue string) float64 {
	if a := l.accounts[queue]; a != nil {
		return a.served.rate(now, recentTime)
	}
	return 0
}

// Owes reports whether less than Floor of the queue's recent demand was served. The size
// of the next job does not count, so that large jobs are served as often as small ones.
func (l *Ledger) Owes(now time.Time, queue string) bool {
	a := l.accounts[queue]
	return a != nil && a.served.decayed(now, recentTime) < Floor*a.asked.decayed(now, recentTime)
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
	Queue  string  `json:"queue"`
	Asked  float64 `json:"asked_cores"`  // recently
	Served float64 `json:"served_cores"` // recently
	Usual  float64 `json:"usual_cores"`
	Owed   bool    `json:"owed"`
}

// Rows returns the accounts in the order of their queues.
func (l *Ledger) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(l.accounts))
	for _, queue := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[queue]
		rows = append(rows, Row{
			Queue: queue, Asked: a.asked.rate(now, recentTime), Served: a.served.rate(now, recentTime),
			Usual: a.usual.rate(now, usualTime), Owed: l.Owes(now, queue),
		})
	}
	return rows
}
