//go:build race

package e2e_test

// raceEnabled is set if the tests run with the race detector; the programs are
// then built with it as well.
const raceEnabled = true
