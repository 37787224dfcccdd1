package model_test

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// node is a name and address at which a process runs. After a crash another
// incarnation of it starts there.
type node struct {
	name        string
	up          bool
	paused      bool
	incarnation structs.Incarnation // of the current or, if down, the last process
}

// packet is a message in flight to a node. The network may deliver it late, out
// of order, twice or never.
type packet struct {
	label string
	to    *node
	// deliver hands the message to the node's current incarnation.
	deliver func()
	// lost reports a broken connection to the sender; nil if the sender would
	// not notice.
	lost func()
	// local, if not zero, marks an event inside this incarnation of the node.
	// It is never lost or duplicated, but dropped if the incarnation has ended.
	local structs.Incarnation
	// single marks a message that must not be duplicated.
	single bool
}

// network holds the packets in flight.
type network struct {
	packets []*packet
	trace   []string
}

func (n *network) send(p *packet) { n.packets = append(n.packets, p) }

func (n *network) logf(format string, args ...any) {
	n.trace = append(n.trace, fmt.Sprintf(format, args...))
}

// deliverable returns the indexes of the packets that can be delivered now.
func (n *network) deliverable() []int {
	var out []int
	for i, p := range n.packets {
		if !p.to.paused {
			out = append(out, i)
		}
	}
	return out
}

func (n *network) remove(i int) *packet {
	p := n.packets[i]
	n.packets = append(n.packets[:i], n.packets[i+1:]...)
	return p
}

// deliver delivers p, or breaks its connection if the process is down.
func (n *network) deliver(p *packet) {
	if p.local != 0 && p.local != p.to.incarnation {
		return
	}
	if !p.to.up {
		n.drop(p, "process is down")
		return
	}
	n.logf("deliver %s", p.label)
	p.deliver()
}

func (n *network) drop(p *packet, why string) {
	n.logf("lose %s: %s", p.label, why)
	if p.lost != nil {
		p.lost()
	}
}

// rpcCall is an RPC from an entry to an agent that has no reply yet.
type rpcCall struct {
	label            string
	entry            *entryNode
	entryIncarnation structs.Incarnation // of the entry
	agent            structs.Incarnation // the agent incarnation it is meant for
	ended            bool
	// server and serverIncarnation are the agent that received the request
	// last, and its incarnation at that time.
	server            *agentNode
	serverIncarnation structs.Incarnation
	onDisconnect      func() // delivers the failure event to the entry
}

// disconnect ends the call without a reply. A reply that arrives later is
// ignored, as in net/rpc, but the request may still reach the agent.
func (c *rpcCall) disconnect() {
	if c.ended {
		return
	}
	c.ended = true
	c.onDisconnect()
}
