package structs

// Status is the system as one entry sees it (GET /v1/status).
type Status struct {
	Entry    EntryInfo       `json:"entry"` // the one that answers
	Leaving  bool            `json:"leaving"`
	Entries  []EntryInfo     `json:"entries"` // live ones, itself included
	Agents   []AgentStatus   `json:"agents"`
	Services []ServiceStatus `json:"services"`
	// LogOffset is the offset up to which the entry has read the platform's log.
	LogOffset uint64 `json:"log_offset"`
	// LogError says why the log cannot be read now; empty if it can.
	LogError string `json:"log_error,omitempty"`
}

// AgentStatus is an agent with its newest known state.
type AgentStatus struct {
	Info  AgentInfo  `json:"info"`
	State AgentState `json:"state"`
}

// ServiceStatus is the revision of a service's document that is in force
// (GET /v1/services gives a list of them).
type ServiceStatus struct {
	Service  string `json:"service"`
	Owner    string `json:"owner"`
	Revision uint64 `json:"revision"`
}

// Edit is an edit of a service's document as a caller sends it
// (PUT /v1/services/{name}).
type Edit struct {
	EditID string `json:"edit_id"` // unique; a repeated one is the same edit
	Base   uint64 `json:"base"`    // revision it is based on; zero: none yet
	Text   string `json:"text"`    // TOML
}
