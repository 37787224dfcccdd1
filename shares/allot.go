package shares

// Need is what one queue asked for recently.
type Need struct {
	Priority int
	Asked    float64 // core-seconds
	Usual    float64 // cores, over a longer time
}

// Policy divides the capacity that was served recently, in core-seconds, between the
// queues, and returns the allotment of each. Queues are in the order of their priorities.
type Policy func(needs []Need, capacity float64) []float64

// FloorsThenPriority allots each queue its floor, and the rest by priority. While there is
// less capacity than that, each gets the same part of its floor.
func FloorsThenPriority(needs []Need, capacity float64) []float64 {
	floors := 0.0
	for _, n := range needs {
		floors += floor * n.Asked
	}
	part := floor
	if floors > capacity {
		part *= capacity / floors
	}
	rest := max(capacity-floors, 0)
	allotted := make([]float64, len(needs))
	for i, n := range needs {
		more := min((1-floor)*n.Asked, rest)
		allotted[i] = part*n.Asked + more
		rest -= more
	}
	return allotted
}
