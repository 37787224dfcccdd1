// Package command implements the command line of chestnuthollow for callers and
// operators, with one file per command. Package command/daemon implements that of
// the daemon, chestnuthollowd.
package command
