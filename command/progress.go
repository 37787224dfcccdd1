package command

import (
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// progress shows the progress of a wait in one line, which it overwrites. It
// writes nothing unless its output is a terminal.
type progress struct {
	w     io.Writer
	shown bool
}

func newProgress(w io.Writer) *progress {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return &progress{}
	}
	return &progress{w: w}
}

// Control sequences of a terminal.
const (
	lineStart      = "\r"
	clearToLineEnd = "\x1b[K"
)

func (p *progress) show(format string, args ...any) {
	if p.w == nil {
		return
	}
	p.shown = true
	fmt.Fprintf(p.w, lineStart+format+clearToLineEnd, args...)
}

func (p *progress) job(a *structs.JobAnswer) {
	p.show("job %s: %d of %d tasks done", a.ID, a.Done, a.Total)
}

// clear erases the line.
func (p *progress) clear() {
	if p.shown {
		fmt.Fprint(p.w, lineStart+clearToLineEnd)
	}
}
