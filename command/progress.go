package command

import (
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// progress shows how far a long wait is, in one line that is overwritten. It
// shows nothing unless it writes to a terminal.
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
	lineStart  = "\r"
	clearToEnd = "\x1b[K"
)

func (p *progress) show(format string, args ...any) {
	if p.w == nil {
		return
	}
	p.shown = true
	fmt.Fprintf(p.w, lineStart+format+clearToEnd, args...)
}

func (p *progress) job(a *structs.JobAnswer) {
	p.show("job %s: %d of %d tasks done", a.ID, a.Done, a.Total)
}

// clear removes the line.
func (p *progress) clear() {
	if p.shown {
		fmt.Fprint(p.w, lineStart+clearToEnd)
	}
}
