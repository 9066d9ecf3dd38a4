package entry

import (
	"encoding/json"
	"net"
	"net/netip"

	"github.com/almondpost/almondpost/internal/state/membership"
)

// maxHeartbeatBytes is the maximum size of a heartbeat datagram.
const maxHeartbeatBytes = 1024

// Heartbeats sends and receives heartbeats over UDP.
type Heartbeats struct {
	socket *net.UDPConn
}

// ListenHeartbeats opens a UDP socket on an address.
func ListenHeartbeats(a netip.AddrPort) (*Heartbeats, error) {
	s, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	return &Heartbeats{socket: s}, nil
}

// Send sends one heartbeat and returns its length in bytes.
func (h *Heartbeats) Send(to netip.AddrPort, b membership.Heartbeat) (int, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return 0, err
	}
	return h.socket.WriteToUDPAddrPort(data, to)
}

// ReceivedHeartbeat is a heartbeat with the address of its sender and its size.
type ReceivedHeartbeat struct {
	membership.Heartbeat
	// From is the address of the sender.
	From netip.AddrPort
	// Length is the size of the datagram in bytes.
	Length int
}

// Receive waits for the next heartbeat and skips malformed datagrams. It returns an
// error after the socket is closed.
func (h *Heartbeats) Receive() (ReceivedHeartbeat, error) {
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, from, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return ReceivedHeartbeat{}, err
		}
		var b membership.Heartbeat
		if json.Unmarshal(buffer[:n], &b) == nil && b.Name != "" && (b.IsBrief() || b.Address.IsValid()) {
			return ReceivedHeartbeat{Heartbeat: b, From: from, Length: n}, nil
		}
	}
}

// Close closes the socket.
func (h *Heartbeats) Close() { _ = h.socket.Close() }
