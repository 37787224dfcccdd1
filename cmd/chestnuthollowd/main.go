// Command chestnuthollowd is the daemon of chestnuthollow, in the role of an
// entry, of an agent, or of both with stand-ins for trying it out.
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
