package daemon

import (
	"log/slog"

	"dandelionmux/internal/peer"
	"dandelionmux/internal/wire"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
)

// network implements control.Network on package peer, and passes received
// messages to the control loop.
type network struct {
	peers   *peer.Network
	logger  *slog.Logger
	tryPost func(fleet.Event)
}

// Send implements control.Network.
func (n *network) Send(to instance.Address, message fleet.Message) {
	frame, err := wire.Encode(message)
	if err != nil {
		n.logger.Error("failed to encode a message to a peer",
			"Peer", to,
			"Error", err)
		return
	}
	n.peers.Send(to, frame)
}

// receive decodes a peer's frame and passes the message to the control loop.
func (n *network) receive(from instance.ID, frame peer.Frame) {
	message, err := wire.Decode(frame)
	if err != nil {
		n.logger.Warn("rejected a message from a peer",
			"Peer", from.Address,
			"Error", err)
		return
	}
	n.tryPost(fleet.Received{
		From:    from,
		Message: message,
	})
}

// connectionFailed tells the control loop that a peer can't be reached.
func (n *network) connectionFailed(address instance.Address) {
	n.tryPost(fleet.ConnectionFailed{
		Address: address,
	})
}
