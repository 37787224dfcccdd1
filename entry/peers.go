package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Intervals of the entries' knowledge of each other.
const (
	pingInterval = 2 * time.Second
	peerLiveFor  = 3 * pingInterval // since it was last heard
	peerKeepFor  = 3 * time.Hour    // a silent peer is forgotten after
)

// peerTable knows the other entries: announced on the log, named by peers, or
// heard directly.
type peerTable struct {
	self structs.EntryInfo

	mu    sync.Mutex
	peers map[structs.Incarnation]*peer
}

type peer struct {
	info  structs.EntryInfo
	link  *peerLink
	added time.Time
	heard time.Time // zero: never
	asked bool      // for its members
	mute  bool      // the last ping got no answer
}

func newPeerTable(self structs.EntryInfo) *peerTable {
	return &peerTable{self: self, peers: make(map[structs.Incarnation]*peer)}
}

// add makes entries known.
func (t *peerTable) add(entries []structs.EntryInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, info := range entries {
		t.addLocked(info)
	}
}

func (t *peerTable) addLocked(info structs.EntryInfo) *peer {
	if info.Incarnation == t.self.Incarnation || info.Incarnation == 0 {
		return nil
	}
	p := t.peers[info.Incarnation]
	if p == nil {
		p = &peer{info: info, link: newPeerLink(info.RPCAddr), added: time.Now()}
		t.peers[info.Incarnation] = p
	}
	return p
}

// heard notes a sign of life.
func (t *peerTable) heard(info structs.EntryInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.addLocked(info); p != nil {
		p.heard = time.Now()
		p.mute = false
	}
}

// remove forgets an entry run that is known to be gone.
func (t *peerTable) remove(id structs.Incarnation) {
	t.mu.Lock()
	p := t.peers[id]
	delete(t.peers, id)
	t.mu.Unlock()
	if p != nil {
		p.link.close()
	}
}

// entries returns the live entries, this one first. A peer never heard counts
// as live while it is new.
func (t *peerTable) entries() []structs.EntryInfo {
	list := []structs.EntryInfo{t.self}
	for _, p := range t.list() {
		if p.live(time.Now()) {
			list = append(list, p.info)
		}
	}
	return list
}

func (p *peer) live(now time.Time) bool {
	if p.heard.IsZero() {
		return !p.mute && now.Sub(p.added) <= peerLiveFor
	}
	return now.Sub(p.heard) <= peerLiveFor
}

// list returns copies of all known peers in order of name and incarnation.
func (t *peerTable) list() []peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b peer) int {
		return cmp.Or(cmp.Compare(a.info.Name, b.info.Name), cmp.Compare(a.info.Incarnation, b.info.Incarnation))
	})
	return list
}

// get returns a known peer.
func (t *peerTable) get(id structs.Incarnation) (peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil {
		return peer{}, false
	}
	return *p, true
}

// peerListener is told what is learned of the other entries.
type peerListener interface {
	// postPeers is told the known entries and how many live.
	postPeers(known []structs.EntryInfo, live int)
	// postMembers is told what a peer knows that was met, or came back.
	postMembers(*structs.MembersReply)
}

// run pings the peers until ctx ends.
func (t *peerTable) run(ctx context.Context, to peerListener) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		t.pingAll(to)
		t.forgetSilent()
		to.postPeers(t.known(), len(t.entries()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *peerTable) known() []structs.EntryInfo {
	var known []structs.EntryInfo
	for _, p := range t.list() {
		known = append(known, p.info)
	}
	return known
}

func (t *peerTable) pingAll(to peerListener) {
	var wg sync.WaitGroup
	for _, p := range t.list() {
		wg.Go(func() { t.ping(p, to) })
	}
	wg.Wait()
}

// ping asks a peer for a sign of life. An answer of another run shows that this
// one is gone.
func (t *peerTable) ping(p peer, to peerListener) {
	var info structs.EntryInfo
	if err := p.link.call("Ping", &t.self, &info, controlTimeout); err != nil {
		t.missed(p)
		return
	}
	t.heard(info)
	if info.Incarnation != p.info.Incarnation {
		t.remove(p.info.Incarnation)
		return
	}
	if !p.asked {
		t.askMembers(p, to)
	}
}

// askMembers learns from a peer what it knows.
func (t *peerTable) askMembers(p peer, to peerListener) {
	var reply structs.MembersReply
	if err := p.link.call("Members", &t.self, &reply, controlTimeout); err != nil {
		return
	}
	t.add(reply.Entries)
	to.postMembers(&reply)
	t.setAsked(p.info.Incarnation, true)
}

// ready returns nil once a peer has told its agents, or there is none that
// could: a newcomer without agents would refuse jobs that its peers can serve.
func (t *peerTable) ready() error {
	now := time.Now()
	for _, p := range t.list() {
		if p.asked {
			return nil
		}
	}
	for _, p := range t.list() {
		if p.live(now) {
			return errors.New("no peer has told its agents yet")
		}
	}
	return nil
}

func (t *peerTable) setAsked(id structs.Incarnation, asked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[id]; known != nil {
		known.asked = asked
	}
}

// missed notes a ping without an answer. A peer that was away is asked for its
// members again, for agents may have come and gone meanwhile.
func (t *peerTable) missed(p peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[p.info.Incarnation]; known != nil {
		known.mute = true
		known.asked = known.asked && p.live(time.Now())
	}
}

// fetchFold gets the encoded fold of the log from any live peer.
func (t *peerTable) fetchFold(ctx context.Context) ([]byte, error) {
	for _, p := range t.list() {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var reply structs.MembersReply
		err := p.link.call("Members", &t.self, &reply, controlTimeout)
		if err == nil && len(reply.Fold) > 0 {
			return reply.Fold, nil
		}
	}
	return nil, errNoPeerFold
}

// tellClosed gives the last word of this entry to every live peer.
func (t *peerTable) tellClosed(report *structs.ClosedReport) {
	var wg sync.WaitGroup
	for _, p := range t.list() {
		if p.live(time.Now()) {
			wg.Go(func() {
				// A peer that misses it answers may_have_run instead of not_run.
				_ = p.link.call("Closed", report, new(bool), controlTimeout)
			})
		}
	}
	wg.Wait()
}

func (t *peerTable) forgetSilent() {
	now := time.Now()
	for _, p := range t.list() {
		last := p.heard
		if last.IsZero() {
			last = p.added
		}
		if now.Sub(last) > peerKeepFor {
			t.remove(p.info.Incarnation)
		}
	}
}
