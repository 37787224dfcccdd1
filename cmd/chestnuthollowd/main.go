// Command chestnuthollowd is the daemon of chestnuthollow, in the role of an
// entry, of an agent, or of both with stand-ins for trying it out.
package main

func main() {}
