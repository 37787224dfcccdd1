package platformlog

// Paths of the log's HTTP interface.
const (
	// RecordsPath accepts POST, which appends the body, and GET with the query
	// parameters "offset" and "max", which reads records.
	RecordsPath = "/v1/records"
	// BoundsPath accepts GET, which returns the range of kept offsets.
	BoundsPath = "/v1/bounds"
)

// AppendReply is the response body of a successful append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// ReadReply is the response body of a successful read.
type ReadReply struct {
	Records []Record `json:"records"`
}

// BoundsReply is the response body of a successful GET of BoundsPath.
type BoundsReply struct {
	Earliest uint64 `json:"earliest"` // earliest kept offset
	Next     uint64 `json:"next"`     // offset of the next append
}
