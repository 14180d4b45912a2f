package peer

import (
	"bytes"
	"net/netip"
)

// MaxPlainMessage is the maximum size of a message that is not sealed, in bytes.
const MaxPlainMessage = 256

// plainEnvelope is the format for a network on which source addresses can be trusted: a datagram is the message itself.
type plainEnvelope struct {
	self    int
	senders map[netip.AddrPort]int // instances by address
}

// unmap returns the IPv4 form of an IPv4-mapped IPv6 address, as which a socket may report a source, and other addresses
// as they are.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// seal returns the message, nil if it is too long.
func (env plainEnvelope) seal(_ int, message []byte, _ int64) []byte {
	if len(message) > MaxPlainMessage {
		return nil
	}
	return message
}

// open accepts datagrams from the address of another instance.
func (env plainEnvelope) open(datagram []byte, source netip.AddrPort, _ int64) (from int, message []byte, err error) {
	from, known := env.senders[unmap(source)]
	switch {
	case !known || len(datagram) > MaxPlainMessage:
		return 0, nil, ErrForeign
	case from == env.self:
		return 0, nil, ErrMisdirected
	}
	return from, bytes.Clone(datagram), nil
}
