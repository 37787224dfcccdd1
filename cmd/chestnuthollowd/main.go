// Command chestnuthollowd is the daemon of chestnuthollow. It runs an entry, an
// agent, or, for evaluation, a complete system with stand-ins for the platform's log
// and the backend servers.
package main

import (
	"context"
	"os"

	"github.com/chestnuthollow/chestnuthollow/command/daemon"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

func main() {
	ctx := exit.SignalContext(context.Background(), func() { os.Exit(exit.Failure) })
	os.Exit(exit.Run(ctx, daemon.New(os.Stdout, os.Stderr), os.Args))
}
