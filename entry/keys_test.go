package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// postKeyed submits a job under an idempotency key and returns the status code
// and the job's id.
func (s *site) postKeyed(i int, key string, spec *structs.JobSpec) (int, structs.JobID) {
	body, err := json.Marshal(spec)
	s.g.Expect(err).NotTo(HaveOccurred())
	url := "http://" + s.entries[i].HTTPAddr() + "/v1/jobs?wait=20s"
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	s.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var answer structs.JobAnswer
	if resp.StatusCode == http.StatusOK {
		s.g.Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
	}
	return resp.StatusCode, answer.ID
}

// Copies of a keyed submission through different entries, at the same time and
// later, are one job.
func TestKeyedJobRunsOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := newSite(t, 2, 2)
	s.publish(ctx)
	key := uuid.Must(uuid.NewV7()).String()
	ids := make([]structs.JobID, 6)
	var wg sync.WaitGroup
	for i := range ids {
		wg.Go(func() {
			var code int
			code, ids[i] = s.postKeyed(i%2, key, job(3))
			s.g.Expect(code).To(Equal(http.StatusOK))
		})
	}
	wg.Wait()
	for _, id := range ids {
		s.g.Expect(id).To(Equal(ids[0]))
	}
	starts := 0
	for _, b := range s.backends {
		starts += len(b.Starts())
	}
	s.g.Expect(starts).To(Equal(3))
	code, _ := s.postKeyed(1, key, job(2))
	s.g.Expect(code).To(Equal(http.StatusConflict))
	code, _ = s.postKeyed(0, uuid.NewString(), job(1))
	s.g.Expect(code).To(Equal(http.StatusBadRequest))
}

// While the key's stream is down, a keyed job is refused and others run.
func TestKeyedJobDuringAnOutageOfTheLog(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := newSite(t, 1, 1)
	s.publish(ctx)
	s.keyLogs.SetFaults(logserver.Faults{Down: true})
	code, _ := s.postKeyed(0, uuid.Must(uuid.NewV7()).String(), job(1))
	s.g.Expect(code).To(Equal(http.StatusServiceUnavailable))
	_, err := s.client(0).Submit(ctx, job(1))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(s.backends[0].Starts()).To(HaveLen(1))
}
