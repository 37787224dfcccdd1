package membership

import (
	"errors"
	"net/rpc"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// exchangeTimeout bounds an exchange. It covers two round trips between regions
	// and one lost packet.
	exchangeTimeout = 500 * time.Millisecond
	// dialTimeout bounds connecting to a peer.
	dialTimeout = 300 * time.Millisecond
)

var errNoReply = errors.New("timed out waiting for the reply")

// Exchange sends the request to the entry at addr and returns its reply.
func Exchange(addr string, req session.ExchangeRequest) (session.ExchangeReply, error) {
	client, err := rpcconn.Dial(addr, dialTimeout)
	if err != nil {
		return session.ExchangeReply{}, err
	}
	defer client.Close()
	reply := new(session.ExchangeReply)
	call := client.Go(structs.EntryService+".Exchange", &req, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(exchangeTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return *reply, call.Error
	case <-timer.C:
		return session.ExchangeReply{}, errNoReply
	}
}
