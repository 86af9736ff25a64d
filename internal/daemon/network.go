package daemon

import (
	"log/slog"

	"dandelionmux/internal/peer"
	"dandelionmux/internal/wire"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
)

// network sends and receives the core's messages over package peer.
type network struct {
	peers   *peer.Network
	logger  *slog.Logger
	tryPost func(fleet.Event)
}

// Send implements control.Network.
func (n *network) Send(to instance.Address, message fleet.Message) {
	frame, err := wire.Encode(message)
	if err != nil {
		n.logger.Error("message not encoded",
			"Peer", to,
			"Error", err)
		return
	}
	n.peers.Send(to, frame)
}

// receive takes a frame of a peer in.
func (n *network) receive(from instance.ID, frame peer.Frame) {
	message, err := wire.Decode(frame)
	if err != nil {
		n.logger.Warn("message refused",
			"Peer", from.Address,
			"Error", err)
		return
	}
	n.tryPost(fleet.Received{
		From:    from,
		Message: message,
	})
}

// connectionFailed takes in that a peer can't be reached.
func (n *network) connectionFailed(address instance.Address) {
	n.tryPost(fleet.ConnectionFailed{
		Address: address,
	})
}
