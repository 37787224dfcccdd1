// Package daemon implements the command line of chestnuthollowd, with one file per
// role.
package daemon
