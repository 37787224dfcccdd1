package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps the violations of the rule.
type record struct {
	mu         sync.Mutex
	file       *os.File
	began      time.Time
	violations int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violated records that the rule was broken.
func (r *record) violated(format string, args ...any) {
	r.mu.Lock()
	r.violations++
	r.mu.Unlock()
	r.log("BROKEN "+format, args...)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}
