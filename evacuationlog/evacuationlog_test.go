package evacuationlog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/evacuationlog"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
)

// Guards against records of other keys taken for zones, and against a batch that loses where
// to continue.
func TestRecordsOfZonesAreDecoded(t *testing.T) {
	g := NewWithT(t)
	batch := evacuationlog.Decode("evacuate/", keyedlog.Batch{Next: 9, More: true, Records: []keyedlog.Record{
		{Key: "config", Value: []byte("{}"), Offset: 4}, {Key: "evacuate/", Value: []byte("{}"), Offset: 5},
		{Key: "evacuate/a", Value: []byte("{}"), Offset: 6}, {Key: "evacuate/b", Offset: 7},
	}})
	g.Expect(batch).To(Equal(evacuation.Batch{Next: 9, More: true, Records: []evacuation.Record{
		{Zone: "a", Evacuated: true, Offset: 6}, {Zone: "b", Offset: 7},
	}}))
}
