package structs

import "time"

// EntryInfo describes one run of an entry.
type EntryInfo struct {
	Name        string      `json:"name"` // stable across restarts
	Incarnation Incarnation `json:"incarnation"`
	Zone        string      `json:"zone"`
	Region      string      `json:"region"`
	RPCAddr     string      `json:"rpc_addr"`  // host:port
	HTTPAddr    string      `json:"http_addr"` // host:port
}

// AgentInfo describes one run of an agent.
type AgentInfo struct {
	Name        string      `json:"name"` // stable across restarts
	Incarnation Incarnation `json:"incarnation"`
	Service     string      `json:"service"`
	Team        string      `json:"team"` // owner of the backend server
	Zone        string      `json:"zone"`
	Region      string      `json:"region"`
	RPCAddr     string      `json:"rpc_addr"` // host:port
	Slots       int         `json:"slots"`    // number of tasks that the backend server runs at once
}

// AgentState is the current state of an agent; every reply of the agent includes
// it.
type AgentState struct {
	Incarnation Incarnation `json:"incarnation"`
	Running     int         `json:"running"`
	Queued      int         `json:"queued"`
	Slots       int         `json:"slots"`
	Leaving     bool        `json:"leaving"`
	// Revision is the newest revision of the service's document that the agent
	// holds.
	Revision uint64 `json:"revision"`
	// Seq increases with every state that one run of an agent sends. A receiver
	// ignores a state whose Seq is not greater than the last one it received.
	Seq uint64 `json:"seq"`
}

// DocumentRecord is one accepted revision of a service's document, in the form
// that processes exchange.
type DocumentRecord struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"` // 1 for the first accepted edit
	Offset   uint64 `json:"offset"`   // of the edit in the platform's log
	EditID   string `json:"edit_id"`
	Text     string `json:"text"` // TOML
	// Published is when the edit was submitted, by the publisher's clock. It is
	// for information only.
	Published time.Time `json:"published"`
}
