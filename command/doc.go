// Package command is the command line of chestnuthollow, for callers and
// operators: one file per command. Package command/daemon is that of the
// daemon.
package command
