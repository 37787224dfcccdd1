package agent

import (
	"os"
	"runtime"
	"runtime/debug"
)

// maxProcs is the default GOMAXPROCS of an agent process. An agent mostly waits for
// I/O, and with more processors it spends time on waking other threads.
const maxProcs = 1

// LimitProcess sets the memory limit and GOMAXPROCS of the whole process, unless the
// environment variables GOMEMLIMIT and GOMAXPROCS set them. It must only be used in a
// process that runs nothing but one agent.
func (o *Options) LimitProcess() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(maxProcs)
	}
	if os.Getenv("GOMEMLIMIT") == "" && o.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(o.MemoryLimit) << 20)
	}
}
