package gateway

import (
	"log/slog"
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
)

// datagramBytes bounds a datagram, so that it fits one packet.
const datagramBytes = 1400

// listenPeers opens the socket for datagrams.
func listenPeers(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return conn, nil
}

// send sends a datagram. It may be lost like any other, so a failure to send
// is only logged.
func (g *Gateway) send(to instance.Address, m message) {
	at, err := netip.ParseAddrPort(string(to))
	if err == nil {
		_, err = g.datagrams.WriteToUDPAddrPort(encode(m), at)
	}
	if err != nil {
		g.count("Peer.SendFailed")
		g.logger.Debug("datagram not sent",
			slog.String("Peer", string(to)),
			slog.String("Error", err.Error()))
	}
}

// receive handles datagrams until the socket is closed.
func (g *Gateway) receive() {
	buffer := make([]byte, 2*datagramBytes)
	for {
		n, from, err := g.datagrams.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.count("Peer.ReceiveFailed")
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			g.count("Peer.Malformed")
			g.logger.Warn("datagram refused",
				slog.String("Peer", from.String()),
				slog.String("Error", err.Error()))
			continue
		}
		g.handle(instance.Address(from.String()), m)
	}
}

// handle takes one datagram in.
func (g *Gateway) handle(from instance.Address, m message) {
	g.belief.look(func() { g.belief.heard[from] = boot.Now() })
	switch m := m.(type) {
	case ask:
		g.hearAsk(from, m)
	case verdict:
		g.asks.answer(m)
	case failure:
		g.hear(from, m)
	case wants:
		g.hearWants(m)
	case offers:
		g.hearOffers(m)
	case loads:
		g.hearLoads(from, m)
	}
}
