package deployment

import "github.com/chestnuthollow/chestnuthollow/load"

const (
	slotsPerServer = 8
	bookingEntries = 3
	faqEntries     = 4
)

// Booking returns a deployment of the size of Himalaya Bounce's booking service,
// and its job sizes: mostly single-task jobs, on servers whose speeds differ by a
// factor of up to 5.
func Booking(seed uint64) (Options, load.JobSizes) {
	return Options{
		Service: "booking",
		Entries: bookingEntries,
		Servers: servers(1, 1, 1, 1, 0.8, 0.8, 0.6, 0.6, 0.4, 0.4, 0.2),
		Seed:    seed,
	}, load.JobSizes{SingleShare: 0.85, LargeShare: 0.01}
}

// FAQ returns a deployment of the size of Kilimo's FAQ service, and its job sizes:
// a larger share of multi-task jobs than Booking, on slower servers.
func FAQ(seed uint64) (Options, load.JobSizes) {
	return Options{
		Service: "faq",
		Entries: faqEntries,
		Servers: servers(1, 1, 0.7, 0.7, 0.5, 0.5, 0.5, 0.4, 0.3, 0.2, 0.2),
		Seed:    seed,
	}, load.JobSizes{SingleShare: 0.5, LargeShare: 0.02}
}

// servers returns servers of the given speeds.
func servers(speeds ...float64) []load.Server {
	list := make([]load.Server, len(speeds))
	for i, s := range speeds {
		list[i] = load.Server{Slots: slotsPerServer, Speed: s}
	}
	return list
}
