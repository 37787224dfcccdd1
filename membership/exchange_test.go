package membership_test

import (
	"bytes"
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/standin/slowlink"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// configReceiver replies to exchanges with a configuration.
type configReceiver struct{ config session.Config }

// Exchange returns the configuration.
func (r *configReceiver) Exchange(_ *session.ExchangeRequest, reply *session.ExchangeReply) error {
	reply.Config = r.config
	return nil
}

// Guards against entries that keep an old configuration while the store is
// unavailable: an exchange was given up after half a second, so that a large
// configuration never arrived over a slow or busy link.
func TestExchangeReturnsLargeConfigurationOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	const size, rateLimit = 400_000, 200_000 // bytes, bytes per second
	config := session.Config{Version: 3, Text: bytes.Repeat([]byte("x"), size)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := rpcserver.New(rpcserver.DefaultOptions(), structs.EntryService, func(context.Context) any {
		return &configReceiver{config: config}
	})
	go server.Serve(slowlink.NewListener(l, rateLimit))
	t.Cleanup(func() { l.Close() })

	reply, err := membership.Exchange(l.Addr().String(), session.ExchangeRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Config).To(Equal(config))
}
