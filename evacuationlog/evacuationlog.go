// Package evacuationlog decodes the evacuations on the operators' topic of the store, for
// the processes that read it.
package evacuationlog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
)

// Decode returns a reply to a read of the topic with the records that evacuate zones. The
// key of such a record is keyPrefix and the name of the zone; one without a value withdraws
// the evacuation.
func Decode(keyPrefix string, b keyedlog.Batch) evacuation.Batch {
	decoded := evacuation.Batch{Next: b.Next, Snapshot: b.Snapshot, More: b.More}
	for _, r := range b.Records {
		if zone, ok := strings.CutPrefix(r.Key, keyPrefix); ok && zone != "" {
			decoded.Records = append(decoded.Records, evacuation.Record{Zone: zone, Evacuated: len(r.Value) > 0, Offset: r.Offset})
		}
	}
	if b.Snapshot && len(b.Skipped) > 0 {
		// A key that is missing in an incomplete snapshot may not have been deleted.
		decoded.Snapshot, decoded.Next = false, 0
		slices.SortFunc(decoded.Records, func(a, b evacuation.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	return decoded
}
