package keeper

import (
	"net/netip"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Way returns the address of the keeper through which a call to the worker goes at present,
// or the zero value if the call goes to it directly.
func (d *Dispatcher) Way(r *backend.Registration) netip.AddrPort {
	if a, ok := d.usableKeeper(r); ok {
		return a
	}
	return netip.AddrPort{}
}
