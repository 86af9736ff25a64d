package gateway

import (
	"log/slog"
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
)

// maxDatagramBytes is the largest size of a load report, so that it fits into one packet.
// Other messages are not split.
const maxDatagramBytes = 1400

// listenDatagrams opens the UDP socket for messages of other instances.
func listenDatagrams(address string) (*net.UDPConn, error) {
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err := net.ListenUDP("udp4", udpAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return conn, nil
}

// send sends a message as one datagram. A datagram may be lost in any case, so a
// failure is only counted and logged.
func (g *Gateway) send(to instance.Address, m message) {
	if g.loses != nil && g.loses(to, m) {
		return
	}
	peerAddress, err := netip.ParseAddrPort(string(to))
	if err == nil {
		_, err = g.datagrams.WriteToUDPAddrPort(encode(m), peerAddress)
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
	buffer := make([]byte, 2*maxDatagramBytes)
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
			g.logger.Warn("malformed datagram ignored",
				slog.String("Peer", from.String()),
				slog.String("Error", err.Error()))
			continue
		}
		g.contain(func() { g.handle(instance.Address(from.String()), m) })
	}
}

// handle handles one message.
func (g *Gateway) handle(from instance.Address, m message) {
	g.state.withLock(func() { g.state.lastDatagramAt[from] = boot.Now() })
	switch m := m.(type) {
	case decisionRequest:
		g.handleDecisionRequest(from, m)
	case decisionResponse:
		g.pending.deliver(m)
	case failureReport:
		g.handleFailureReport(from, m)
	case loanRequests:
		g.handleLoanRequests(m)
	case loanOffers:
		g.handleLoanOffers(m)
	case loadReport:
		g.handleLoadReport(from, m)
	case limitReport:
		g.handleLimitReport(from, m)
	case linkReport:
		g.handleLinkReport(from, m)
	case leavingReport:
		g.handleLeavingReport(from, m)
	case retryReport:
		g.handleRetryReport(from, m)
	case slotRequest, slotResponse, slotRelease, zoneLoadReport:
		g.handleSlotMessage(from, m)
	}
}
