package idempotency

import (
	"encoding/json"
	"testing"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// keyAt returns a key with the given time in milliseconds. Serial distinguishes
// keys of the same time.
func keyAt(ms int64, serial byte) Key {
	var id uuid.UUID
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = uuidVersion << 4
	id[8] = 0x80
	id[15] = serial
	return Key{id: id}
}

func TestParseKey(t *testing.T) {
	g := NewWithT(t)
	k := keyAt(1234, 5)
	parsed, err := ParseKey(k.String())
	g.Expect(err).To(BeNil())
	g.Expect(parsed).To(Equal(k))
	g.Expect(parsed.Millis()).To(Equal(int64(1234)))
	for _, bad := range []string{"", "x", uuid.NewString()} {
		_, err := ParseKey(bad)
		g.Expect(err).NotTo(BeNil(), bad)
		g.Expect(err.Verdict).To(Equal(structs.NotRun))
	}
}

// FuzzApply: whatever a record contains, Apply advances past it.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"binds":[{"key":"01234567-89ab-7def-8123-456789abcdef","job":"00000000000000e1-1"}],"through":3,"horizon":9}`))
	f.Add([]byte(`{"through":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table := NewTable(2)
		table.Truncated(7)
		_ = table.Apply(7, data)
		if table.Next() != 8 {
			t.Fatalf("next offset is %d, want 8", table.Next())
		}
	})
}

// stream simulates the stream: all records ever appended, of which those from
// earliest on are kept.
type stream struct {
	records  [][]byte
	earliest uint64
}

// reader simulates one process that binds keys.
type reader struct {
	table *Table
	id    structs.Incarnation
	seq   uint64
}

func (r *reader) read(s *stream, count int) {
	r.table.Truncated(s.earliest)
	for ; count > 0 && r.table.Next() < uint64(len(s.records)); count-- {
		next := r.table.Next()
		_ = r.table.Apply(next, s.records[next])
	}
}

// TestOneJobPerKey: whatever records readers have evicted, missed by
// truncation or started from, no two of them may see one key bound to different
// jobs. Otherwise a job could be started twice under one key.
func TestOneJobPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		s := &stream{}
		readers := []*reader{}
		incarnations := structs.Incarnation(0)
		newReader := func() *reader {
			incarnations++
			return &reader{table: NewTable(limit), id: incarnations}
		}
		for range rapid.IntRange(1, 3).Draw(t, "readers") {
			readers = append(readers, newReader())
		}
		observed := make(map[Key]structs.JobID)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1: // read
				r.read(s, rapid.IntRange(1, 5).Draw(t, "count"))
			case 2: // append a binding
				k := keyAt(rapid.Int64Range(1, 12).Draw(t, "ms"), 0)
				if _, state := r.table.Lookup(k); state != Free {
					continue
				}
				r.seq++
				binding := Binding{Key: k, Job: structs.JobID{Home: r.id, Seq: r.seq}}
				data, err := json.Marshal(r.table.Record([]Binding{binding}))
				if err != nil {
					t.Fatal(err)
				}
				s.records = append(s.records, data)
			case 3: // truncate the stream
				if next := uint64(len(s.records)); next > s.earliest {
					s.earliest = rapid.Uint64Range(s.earliest, next).Draw(t, "earliest")
				}
			case 4: // replace the reader by a new process
				for i := range readers {
					if readers[i] == r {
						readers[i] = newReader()
					}
				}
			}
			for _, r := range readers {
				for ms := range int64(12) {
					k := keyAt(ms+1, 0)
					job, state := r.table.Lookup(k)
					if state != Bound {
						continue
					}
					if first, ok := observed[k]; ok && first != job {
						t.Fatalf("key %d is bound to %s and to %s", ms+1, first, job)
					}
					observed[k] = job
				}
			}
		}
	})
}
