package model_test

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// node is one process slot: a name and address at which one run after another
// lives.
type node struct {
	name   string
	up     bool
	paused bool
	run    structs.Incarnation // of the present run
}

// packet is a message on its way to a node. The network may deliver it late,
// out of order, twice or never.
type packet struct {
	label string
	to    *node
	// deliver hands the message to whatever run the node has now.
	deliver func()
	// lost tells the sender's side that the connection broke; nil if nobody
	// would notice.
	lost func()
	// local marks an event inside of one run: it is neither lost nor doubled,
	// but for a crash of that run.
	local structs.Incarnation
	// single marks a message that must not be doubled.
	single bool
}

// wire holds the packets under way.
type wire struct {
	packets []*packet
	trace   []string
}

func (w *wire) send(p *packet) { w.packets = append(w.packets, p) }

func (w *wire) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// ready returns the indexes of the packets that can be delivered now.
func (w *wire) ready() []int {
	var out []int
	for i, p := range w.packets {
		if !p.to.paused {
			out = append(out, i)
		}
	}
	return out
}

func (w *wire) take(i int) *packet {
	p := w.packets[i]
	w.packets = append(w.packets[:i], w.packets[i+1:]...)
	return p
}

// deliver hands p over, or breaks its connection if the process is gone.
func (w *wire) deliver(p *packet) {
	if p.local != 0 && p.local != p.to.run {
		return
	}
	if !p.to.up {
		w.drop(p, "its process is down")
		return
	}
	w.logf("deliver %s", p.label)
	p.deliver()
}

func (w *wire) drop(p *packet, why string) {
	w.logf("lose %s: %s", p.label, why)
	if p.lost != nil {
		p.lost()
	}
}

// call is an RPC of an entry's run to an agent that has no reply yet.
type call struct {
	label string
	entry *entryNode
	from  structs.Incarnation // the entry's run
	agent structs.Incarnation // the agent's run it is meant for
	over  bool
	// server and servedBy are the agent and its run that got the request last.
	server   *agentNode
	servedBy structs.Incarnation
	fail     func() // brings the event of a broken connection to the entry
}

// broken ends the call without a reply. A reply that arrives later is ignored,
// as net/rpc does, but the request may still reach the agent.
func (c *call) broken() {
	if c.over {
		return
	}
	c.over = true
	c.fail()
}
