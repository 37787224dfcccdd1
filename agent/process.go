package agent

import (
	"os"
	"runtime"
	"runtime/debug"
)

// processors is how many processors an agent's process uses at once. Its work
// is waiting; more of them cost time for waking each other.
const processors = 1

// LimitProcess holds the whole process to the settings' memory limit and to one
// processor, unless the environment says otherwise (GOMEMLIMIT, GOMAXPROCS). It
// is for a process that is one agent and nothing else.
func (o *Options) LimitProcess() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(processors)
	}
	if os.Getenv("GOMEMLIMIT") == "" && o.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(o.MemoryLimit) << 20)
	}
}
