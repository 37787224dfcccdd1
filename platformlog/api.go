package platformlog

// Paths of the log's HTTP interface.
const (
	// RecordsPath takes POST (append the body) and GET with the queries
	// "offset" and "max" (read).
	RecordsPath = "/v1/records"
	// BoundsPath takes GET.
	BoundsPath = "/v1/bounds"
)

// AppendReply is the body of a successful append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// ReadReply is the body of a successful read.
type ReadReply struct {
	Records []Record `json:"records"`
}

// BoundsReply is the body of a successful GET of BoundsPath.
type BoundsReply struct {
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}
