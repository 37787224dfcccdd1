package client_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// fakeServices accepts edits of one service. It can drop responses after an edit
// has taken effect.
type fakeServices struct {
	mu          sync.Mutex
	history     []structs.DocumentRecord // newest first
	dropAnswers int                      // number of responses to PUT left to drop
}

func (f *fakeServices) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, f.history)
		return
	}
	var edit structs.Edit
	_ = json.NewDecoder(r.Body).Decode(&edit)
	status, answer := f.put(edit)
	if f.dropAnswers > 0 {
		f.dropAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

func (f *fakeServices) put(edit structs.Edit) (int, any) {
	for _, rec := range f.history {
		if rec.EditID == edit.EditID {
			return http.StatusOK, rec
		}
	}
	if edit.Base != uint64(len(f.history)) {
		return http.StatusConflict, structs.Errorf(structs.CodeConflict, structs.NotRun, "another edit was accepted first")
	}
	rec := structs.DocumentRecord{Service: "booking", Revision: edit.Base + 1, EditID: edit.EditID, Text: edit.Text}
	f.history = append([]structs.DocumentRecord{rec}, f.history...)
	return http.StatusOK, rec
}

func TestApply(t *testing.T) {
	for _, dropped := range []int{0, 1, 5} { // 5: the response to every attempt is dropped
		g := NewWithT(t)
		f := &fakeServices{dropAnswers: dropped}
		s := httptest.NewServer(f)
		t.Cleanup(s.Close)
		c := newClient(g, nil, s.URL)
		rec, err := c.Apply(t.Context(), "booking", structs.Edit{Text: "a"})
		g.Expect(err).NotTo(HaveOccurred(), "%d responses dropped", dropped)
		g.Expect(rec.Revision).To(Equal(uint64(1)))
		g.Expect(f.history).To(HaveLen(1))

		_, err = c.Apply(t.Context(), "booking", structs.Edit{Text: "b"})
		var refused *structs.Error
		g.Expect(err).To(BeAssignableToTypeOf(refused))
		g.Expect(err.(*structs.Error).Code).To(Equal(structs.CodeConflict))
		g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	}
}

// TestApplyRefusedAfterLostAnswer guards against a refusal that hides that an
// earlier attempt, whose response was lost, may have taken effect.
func TestApplyRefusedAfterLostAnswer(t *testing.T) {
	g := NewWithT(t)
	puts := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			writeJSON(w, http.StatusOK, []structs.DocumentRecord{})
			return
		}
		puts++
		if puts == 1 {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusServiceUnavailable, structs.Errorf(structs.CodeUnavailable, structs.NotRun, "log is down"))
	}))
	t.Cleanup(s.Close)
	_, err := newClient(g, nil, s.URL).Apply(t.Context(), "booking", structs.Edit{Text: "a"})
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun))

	_, err = newClient(g, nil, unreachableURL()).Apply(t.Context(), "booking", structs.Edit{Text: "a"})
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
}

func TestGetAndCancel(t *testing.T) {
	g := NewWithT(t)
	id := structs.JobID{Home: home, Seq: 7}
	f := newFakeEntry(t, running, running, complete)
	c := newClient(g, nil, f.URL)
	a, err := c.Get(t.Context(), id, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.State).To(Equal(structs.JobRunning))
	a, err = c.Get(t.Context(), id, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.State).To(Equal(structs.JobComplete))

	f = newFakeEntry(t, running, dropConnection, failed(structs.NotRun))
	a, err = newClient(g, nil, f.URL).Cancel(t.Context(), id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Error.Verdict).To(Equal(structs.NotRun))
	g.Expect(f.received()).To(Equal([]string{"DELETE 7", "DELETE 7", "DELETE 7"}))
}

func TestReserveUsesWholeBlock(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, complete)
	c := newClient(g, func(o *client.Options) { o.ReserveBlock = 4 }, f.URL)
	seen := map[structs.JobID]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			id, err := c.Reserve(t.Context())
			mu.Lock()
			defer mu.Unlock()
			g.Expect(err).NotTo(HaveOccurred())
			seen[id] = true
		})
	}
	wg.Wait()
	g.Expect(seen).To(HaveLen(8), "no id is returned twice")
	g.Expect(f.seq).To(Equal(uint64(8)), "two blocks are reserved")
}
