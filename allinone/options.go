package allinone

// anyPort is the loopback address at which a process takes a free port.
const anyPort = "127.0.0.1:0"

// Options describe the system.
type Options struct {
	Entries int
	// Speeds has one element per backend server: how fast it is against the
	// fastest, which has 1.
	Speeds []float64
	// Slots is how many tasks each backend server runs at once.
	Slots int
	// Zones are the availability zones that the processes are spread over.
	Zones   []string
	Service string
	Team    string
}

// DefaultOptions returns two entries and four backend servers, of which the
// slowest takes five times as long as the fastest.
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

func (o *Options) zone(i int) string { return o.Zones[i%len(o.Zones)] }
