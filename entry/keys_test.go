package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// postKeyed submits a job with an idempotency key and returns the status code and
// the job's id.
func (s *cluster) postKeyed(i int, key string, spec *structs.JobSpec) (int, structs.JobID) {
	body, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	url := "http://" + s.entries[i].HTTPAddr() + "/v1/jobs?wait=20s"
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var answer structs.JobAnswer
	if resp.StatusCode == http.StatusOK {
		Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
	}
	return resp.StatusCode, answer.ID
}

var _ = Describe("Idempotency keys", func() {
	It("runs concurrent submissions with one key once, through any entries", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(2, 2)
		s.publish(ctx)
		key := uuid.Must(uuid.NewV7()).String()
		ids := make([]structs.JobID, 6)
		var wg sync.WaitGroup
		for i := range ids {
			wg.Go(func() {
				defer GinkgoRecover()
				var code int
				code, ids[i] = s.postKeyed(i%2, key, job(3))
				Expect(code).To(Equal(http.StatusOK))
			})
		}
		wg.Wait()
		for _, id := range ids {
			Expect(id).To(Equal(ids[0]))
		}
		starts := 0
		for _, b := range s.backends {
			starts += len(b.Starts())
		}
		Expect(starts).To(Equal(3))
		code, _ := s.postKeyed(1, key, job(2))
		Expect(code).To(Equal(http.StatusConflict))
		code, _ = s.postKeyed(0, uuid.NewString(), job(1))
		Expect(code).To(Equal(http.StatusBadRequest))
	})

	It("rejects jobs with a key while the stream of keys is unavailable, and runs others", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(1, 1)
		s.publish(ctx)
		s.keyLogs.SetFaults(logserver.Faults{Down: true})
		code, _ := s.postKeyed(0, uuid.Must(uuid.NewV7()).String(), job(1))
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		_, err := s.client(0).Submit(ctx, job(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.backends[0].Starts()).To(HaveLen(1))
	})
})
