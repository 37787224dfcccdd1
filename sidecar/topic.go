package sidecar

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/evacuationlog"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// followTopic passes the evacuations on the operators' topic to the runner until ctx is
// canceled.
func (s *Sidecar) followTopic(ctx context.Context, from int64) {
	keyedlog.FollowSparingly(ctx, s.platform.Store, s.platform.ConfigTopic, from, &topicHandler{sidecar: s})
}

// topicHandler processes the replies to reads of the operators' topic.
type topicHandler struct {
	sidecar          *Sidecar
	unavailableSince time.Time
}

// HandleBatch implements keyedlog.Handler.
func (h *topicHandler) HandleBatch(b keyedlog.Batch) {
	h.sidecar.metrics.topicReads.Inc(1)
	h.sidecar.step(taskrunner.TopicRead{Batch: evacuationlog.Decode(h.sidecar.platform.EvacuationKeyPrefix, b)})
}

// StoreUnavailable implements keyedlog.Handler.
func (h *topicHandler) StoreUnavailable(err error) {
	h.unavailableSince = time.Now()
	h.sidecar.metrics.storeLost.Inc(1)
	level.Warn(h.sidecar.logger).Log("event", "store_lost", "topic", h.sidecar.platform.ConfigTopic, "reason", err)
}

// StoreAvailable implements keyedlog.Handler.
func (h *topicHandler) StoreAvailable() {
	level.Info(h.sidecar.logger).Log("event", "store_regained", "topic", h.sidecar.platform.ConfigTopic, "away", time.Since(h.unavailableSince))
}
