package shares

// Need is what one queue asked for recently.
type Need struct {
	Asked float64 // core-seconds
	Usual float64 // cores, over a longer time
}

// Policy divides the capacity that was served recently, in core-seconds, between the
// queues, and returns the allotment of each. Queues are in the order of their priorities.
type Policy func(needs []Need, capacity float64) []float64

// SharesThenPriority divides a part of the capacity into equal shares, and the rest by
// priority. What a queue does not need of its share is lent to the others.
func SharesThenPriority(needs []Need, capacity float64) []float64 {
	allotted := MaxMin(needs, sharedPart*capacity, func(Need) float64 { return 1 })
	rest := capacity
	for _, a := range allotted {
		rest -= a
	}
	for i, n := range needs {
		more := min(n.Asked-allotted[i], rest)
		allotted[i] += more
		rest -= more
	}
	return allotted
}

// MaxMin divides the capacity by weight. What one queue does not need is divided between
// the others.
func MaxMin(needs []Need, capacity float64, weight func(Need) float64) []float64 {
	allotted := make([]float64, len(needs))
	for range needs {
		weights, rest := 0.0, capacity
		for i, n := range needs {
			rest -= allotted[i]
			if allotted[i] < n.Asked {
				weights += weight(n)
			}
		}
		if weights == 0 || rest <= negligible*capacity {
			break
		}
		for i, n := range needs {
			if allotted[i] < n.Asked {
				allotted[i] = min(n.Asked, allotted[i]+rest*weight(n)/weights)
			}
		}
	}
	return allotted
}
