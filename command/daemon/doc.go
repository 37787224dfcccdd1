// Package daemon is the command line of chestnuthollowd: one file per role.
package daemon
