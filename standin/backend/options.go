package backend

import "time"

// Options configures a Server.
type Options struct {
	Addr  string // host:port on loopback; port 0 takes a free one
	Slots int    // tasks at once; others wait, as in a real server
	// Speed divides every work time: 0.5 takes twice as long.
	Speed float64
	// Work is the work time of a task that names none.
	Work time.Duration
	// Spread is the sigma of a log-normal factor on the work time, with median
	// 1; zero has no spread.
	Spread float64
	Seed   uint64
	// MaxStarts bounds the record of starts; further ones are only counted.
	MaxStarts int
}

// DefaultOptions returns a server of 8 slots at speed 1.
func DefaultOptions() Options {
	return Options{
		Addr:      "127.0.0.1:0",
		Slots:     8,
		Speed:     1,
		Work:      50 * time.Millisecond,
		MaxStarts: 1 << 21,
	}
}
