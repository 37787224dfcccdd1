package membership

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// exchangeTimeouts bound an exchange. The idle time covers two round trips between
// regions and one lost packet.
var exchangeTimeouts = rpcconn.Timeouts{Dial: 300 * time.Millisecond, Idle: 500 * time.Millisecond, Total: 10 * time.Second}

// Exchange sends the request to the entry at addr and returns its reply.
func Exchange(addr string, req session.ExchangeRequest) (session.ExchangeReply, error) {
	var reply session.ExchangeReply
	if err := rpcconn.Call(addr, structs.EntryService+".Exchange", &req, &reply, exchangeTimeouts); err != nil {
		return session.ExchangeReply{}, err
	}
	return reply, nil
}
