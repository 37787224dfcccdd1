// Command chestnuthollow is the command-line client for callers and operators.
package main

import (
	"context"
	"os"

	"github.com/chestnuthollow/chestnuthollow/command"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

func main() {
	ctx := exit.SignalContext(context.Background(), func() { os.Exit(exit.Failure) })
	os.Exit(exit.Run(ctx, command.New(os.Stdin, os.Stdout, os.Stderr), os.Args))
}
