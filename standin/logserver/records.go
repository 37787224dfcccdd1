package logserver

import "github.com/chestnuthollow/chestnuthollow/platformlog"

// records holds the newest records of the log.
type records struct {
	earliest uint64 // offset of the first retained record
	retained [][]byte
}

// next returns the offset of the next record to be appended.
func (r *records) next() uint64 { return r.earliest + uint64(len(r.retained)) }

// add appends a record and returns its offset.
func (r *records) add(data []byte) uint64 {
	offset := r.next()
	r.retained = append(r.retained, data)
	return offset
}

// truncate drops all but the newest keep records; zero drops none.
func (r *records) truncate(keep int) {
	if keep <= 0 || len(r.retained) <= keep {
		return
	}
	drop := len(r.retained) - keep
	r.retained = r.retained[drop:]
	r.earliest += uint64(drop)
}

// read returns at most limit records from offset.
func (r *records) read(offset uint64, limit int) ([]platformlog.Record, error) {
	if offset < r.earliest {
		return nil, platformlog.ErrTruncated
	}
	if offset > r.next() {
		return nil, platformlog.ErrOutOfRange
	}
	rest := r.retained[offset-r.earliest:]
	rest = rest[:min(len(rest), limit)]
	out := make([]platformlog.Record, len(rest))
	for i, data := range rest {
		out[i] = platformlog.Record{Offset: offset + uint64(i), Data: data}
	}
	return out, nil
}
