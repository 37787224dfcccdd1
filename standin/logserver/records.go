package logserver

import "github.com/chestnuthollow/chestnuthollow/platformlog"

// records is the kept part of the log.
type records struct {
	earliest uint64
	kept     [][]byte
}

func (r *records) next() uint64 { return r.earliest + uint64(len(r.kept)) }

func (r *records) append(data []byte) uint64 {
	offset := r.next()
	r.kept = append(r.kept, data)
	return offset
}

// truncate drops the oldest records but for keep; zero drops none.
func (r *records) truncate(keep int) {
	if keep <= 0 || len(r.kept) <= keep {
		return
	}
	drop := len(r.kept) - keep
	r.kept = r.kept[drop:]
	r.earliest += uint64(drop)
}

func (r *records) read(offset uint64, max int) ([]platformlog.Record, error) {
	if offset < r.earliest {
		return nil, platformlog.ErrTruncated
	}
	if offset > r.next() {
		return nil, platformlog.ErrOutOfRange
	}
	rest := r.kept[offset-r.earliest:]
	rest = rest[:min(len(rest), max)]
	out := make([]platformlog.Record, len(rest))
	for i, data := range rest {
		out[i] = platformlog.Record{Offset: offset + uint64(i), Data: data}
	}
	return out, nil
}
