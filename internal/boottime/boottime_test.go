package boottime_test

import (
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
)

// Guards against a clock that stands still or goes back.
func TestNowAdvancesWithTime(t *testing.T) {
	started, before := time.Now(), boottime.Now()
	time.Sleep(20 * time.Millisecond)
	after := boottime.Now()
	if took, elapsed := after.Sub(before), time.Since(started); took < 20*time.Millisecond || took > elapsed {
		t.Errorf("clock advanced by %v while %v passed", took, elapsed)
	}
}
