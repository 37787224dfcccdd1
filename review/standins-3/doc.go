// Command standins-3 plays the cases of the third review: it starts the daemon's roles as
// separate processes on loopback addresses, with the settings of deploy/, beside stand-ins of
// the platform's store, of backend servers and of callers. It writes what was sent, answered
// and run to a record, and exits with 1 if the rule of the case was broken, 0 if it held, and 2
// if the case could not be played.
package main
