//go:build race

package e2e_test

// raceEnabled builds the programs with the race detector as well.
const raceEnabled = true
