package membership

import (
	"fmt"
	"net/netip"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// maxNameLength bounds the name of a process, in bytes: that of a key on the store.
const maxNameLength = 255

// Check returns an error that names the first field of the process that cannot be used.
func Check(p session.Process) error {
	if len(p.Name) > maxNameLength {
		return fmt.Errorf("process %.80q: name: expected at most %d bytes, got %d", p.Name, maxNameLength, len(p.Name))
	}
	if p.Role != session.RoleEntry && p.Role != session.RoleAgent {
		return fmt.Errorf("process %q: role: expected %q or %q, got %.80q", p.Name, session.RoleEntry, session.RoleAgent, p.Role)
	}
	addr, err := netip.ParseAddrPort(p.Addr)
	if err != nil {
		return fmt.Errorf("process %q: addr: expected an IP address and a port, got %.80q", p.Name, p.Addr)
	}
	if addr.Port() == 0 {
		return fmt.Errorf("process %q: addr: expected a port of 1 to 65535, got %s", p.Name, addr)
	}
	return nil
}
