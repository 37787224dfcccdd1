package structs

// Status is one entry's view of the system (GET /v1/status).
type Status struct {
	Entry    EntryInfo       `json:"entry"` // the entry that answers
	Leaving  bool            `json:"leaving"`
	Entries  []EntryInfo     `json:"entries"` // live ones, itself included
	Agents   []AgentStatus   `json:"agents"`
	Services []ServiceStatus `json:"services"`
	// LogOffset is the offset up to which the entry has read the platform's log.
	LogOffset uint64 `json:"log_offset"`
	// LogError says why the log cannot be read at present; empty if it can.
	LogError string `json:"log_error,omitempty"`
}

// AgentStatus is an agent with its last known state.
type AgentStatus struct {
	Info  AgentInfo  `json:"info"`
	State AgentState `json:"state"`
}

// ServiceStatus names the revision of a service's document that is in force.
// GET /v1/services returns one for each service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Owner    string `json:"owner"`
	Revision uint64 `json:"revision"`
}

// Edit is an edit of a service's document as submitted by a caller
// (PUT /v1/services/{name}).
type Edit struct {
	EditID string `json:"edit_id"` // unique; a repeated id denotes the same edit
	Base   uint64 `json:"base"`    // revision that the edit is based on; zero if the service has no document yet
	Text   string `json:"text"`    // TOML
}
