package structs

import "time"

// EntryInfo announces one run of an entry.
type EntryInfo struct {
	Name        string      `json:"name"` // stable across restarts
	Incarnation Incarnation `json:"incarnation"`
	Zone        string      `json:"zone"`
	Region      string      `json:"region"`
	RPCAddr     string      `json:"rpc_addr"`  // host:port
	HTTPAddr    string      `json:"http_addr"` // host:port
}

// AgentInfo announces one run of an agent.
type AgentInfo struct {
	Name        string      `json:"name"` // stable across restarts
	Incarnation Incarnation `json:"incarnation"`
	Service     string      `json:"service"`
	Team        string      `json:"team"` // owner of the backend server
	Zone        string      `json:"zone"`
	Region      string      `json:"region"`
	RPCAddr     string      `json:"rpc_addr"` // host:port
	Slots       int         `json:"slots"`    // tasks its backend server runs at once
}

// AgentState rides on every reply of an agent.
type AgentState struct {
	Incarnation Incarnation `json:"incarnation"`
	Running     int         `json:"running"`
	Queued      int         `json:"queued"`
	Slots       int         `json:"slots"`
	Leaving     bool        `json:"leaving"`
	// Revision is the newest revision of the service's document it holds.
	Revision uint64 `json:"revision"`
	// Seq grows with every state an agent run sends; a reader ignores a state
	// whose Seq is not above the last one it saw.
	Seq uint64 `json:"seq"`
}

// DocumentRecord is one accepted revision of a service's document, as it is
// handed between processes.
type DocumentRecord struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"` // 1 for the first accepted edit
	Offset   uint64 `json:"offset"`   // of the edit in the platform's log
	EditID   string `json:"edit_id"`
	Text     string `json:"text"` // TOML
	// Published is when the edit was submitted, by the publisher's clock. It
	// is informational.
	Published time.Time `json:"published"`
}
