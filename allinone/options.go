package allinone

// freePort is the loopback address with a free port chosen by the operating
// system.
const freePort = "127.0.0.1:0"

// Options configure the system.
type Options struct {
	Entries int
	// Speeds has one element per backend server: its speed relative to the
	// fastest, which has speed 1.
	Speeds []float64
	// Slots is the number of tasks that each backend server runs concurrently.
	Slots int
	// Zones are the availability zones over which entries and backend servers
	// are distributed in turn.
	Zones   []string
	Service string
	Team    string
}

// DefaultOptions returns options for two entries and four backend servers, of
// which the slowest takes five times as long as the fastest.
func DefaultOptions() Options {
	return Options{
		Entries: 2,
		Speeds:  []float64{1, 0.6, 0.4, 0.2},
		Slots:   8,
		Zones:   []string{"zone-a", "zone-b", "zone-c"},
		Service: "booking",
		Team:    "front-desk",
	}
}

// zone returns the availability zone of the i-th entry or backend server.
func (o *Options) zone(i int) string { return o.Zones[i%len(o.Zones)] }
