package backend

import "time"

// Options configures a Server.
type Options struct {
	Addr  string // host:port to listen on; port 0 selects a free port
	Slots int    // concurrent tasks; further tasks wait for a slot, as in a real server
	// Speed divides every work time: at 0.5, tasks take twice as long.
	Speed float64
	// Work is the work time of a task that specifies none.
	Work time.Duration
	// Spread is the sigma of a random log-normal factor with median 1 on the work
	// time; zero disables the factor.
	Spread float64
	Seed   uint64
	// MaxStarts limits the record of starts; further starts are only counted.
	MaxStarts int
}

// DefaultOptions returns options for a server with 8 slots and speed 1.
func DefaultOptions() Options {
	return Options{
		Addr:      "127.0.0.1:0",
		Slots:     8,
		Speed:     1,
		Work:      50 * time.Millisecond,
		MaxStarts: 1 << 21,
	}
}
