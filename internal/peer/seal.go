// Package peer carries the policy module's messages between instances over UDP. Each datagram is encrypted and authenticated
// with a key that all instances share; foreign, altered, replayed, outdated and misdirected ones are dropped and counted.
// On a network where nobody else can send, plain datagrams may be used instead. Messages may be lost: the policy module
// tolerates that.
package peer

import (
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/crypto/chacha20poly1305"
)

// Layout of a sealed datagram. The header has these fields, in bytes: version 1, sender 2, receiver 2, boot 8, counter 8. The
// sealed text follows: time 8 and the message. Boot is the time at which the sender started, and counter increases by one
// with each datagram, so the nonce, which consists of boot, counter, sender and receiver, never repeats under one key. The
// whole header is authenticated.
const (
	sealVersion = 1
	headerSize  = 1 + 2 + 2 + 8 + 8
	timeSize    = 8
	// MaxMessage is the maximum size of a message in bytes.
	MaxMessage  = 1024
	maxDatagram = headerSize + timeSize + MaxMessage + chacha20poly1305.Overhead
)

// maxClockSkewNS is the maximum difference between the wall clocks of sender and receiver. Datagrams beyond it are dropped
// as outdated: they may be replayed to an instance that was restarted and has lost its replay windows.
const maxClockSkewNS = 30e9

// Reasons for which a datagram is dropped.
var (
	// ErrForeign means that the datagram was not sealed with the shared key, was altered, or is not in the expected format.
	ErrForeign = errors.New("sealed with another key, altered, or not a datagram of this protocol")
	// ErrReplayed means that the datagram was received before, or may have been: it is of an earlier boot or behind the window.
	ErrReplayed = errors.New("received before")
	// ErrOld means that the datagram was sent longer ago than the clocks may differ.
	ErrOld = errors.New("older than the maximum clock skew")
	// ErrMisdirected means that the datagram is for another instance, or from one that is not listed.
	ErrMisdirected = errors.New("for another instance, or from an instance that is not listed")
)

// sealer encrypts and decrypts the datagrams of one instance. It is not safe for concurrent use.
type sealer struct {
	aead    cipher.AEAD
	self    uint16
	boot    uint64
	counter uint64
	windows []replayWindow // by sender
}

func newSealer(key []byte, self, instances int, boot uint64) (*sealer, error) {
	aead, err := chacha20poly1305.NewX(key)
	if err != nil {
		return nil, fmt.Errorf("peer key: %w", err)
	}
	return &sealer{aead: aead, self: uint16(self), boot: boot, windows: make([]replayWindow, instances)}, nil
}

// nonce returns the header without its version, padded with zeros.
func nonce(header []byte) []byte {
	n := make([]byte, chacha20poly1305.NonceSizeX)
	copy(n, header[1:headerSize])
	return n
}

// seal returns the datagram that carries a message; nowNS is the wall clock in nanoseconds.
func (sl *sealer) seal(to int, message []byte, nowNS int64) []byte {
	sl.counter++
	header := make([]byte, headerSize, headerSize+timeSize+len(message)+sl.aead.Overhead())
	header[0] = sealVersion
	binary.BigEndian.PutUint16(header[1:], sl.self)
	binary.BigEndian.PutUint16(header[3:], uint16(to))
	binary.BigEndian.PutUint64(header[5:], sl.boot)
	binary.BigEndian.PutUint64(header[13:], sl.counter)
	plaintext := binary.BigEndian.AppendUint64(make([]byte, 0, timeSize+len(message)), uint64(nowNS))
	return sl.aead.Seal(header, nonce(header), append(plaintext, message...), header)
}

// open returns the sender and the message of a datagram, or one of the errors above.
func (sl *sealer) open(datagram []byte, _ netip.AddrPort, nowNS int64) (from int, message []byte, err error) {
	if len(datagram) < headerSize+timeSize+sl.aead.Overhead() || datagram[0] != sealVersion {
		return 0, nil, ErrForeign
	}
	header := datagram[:headerSize]
	from = int(binary.BigEndian.Uint16(datagram[1:]))
	plaintext, err := sl.aead.Open(nil, nonce(header), datagram[headerSize:], header)
	if err != nil {
		return 0, nil, ErrForeign
	}
	if binary.BigEndian.Uint16(datagram[3:]) != sl.self || from >= len(sl.windows) || from == int(sl.self) {
		return 0, nil, ErrMisdirected
	}
	if ageNS := nowNS - int64(binary.BigEndian.Uint64(plaintext)); ageNS > maxClockSkewNS || ageNS < -maxClockSkewNS {
		return 0, nil, ErrOld
	}
	if !sl.windows[from].accept(binary.BigEndian.Uint64(datagram[5:]), binary.BigEndian.Uint64(datagram[13:])) {
		return 0, nil, ErrReplayed
	}
	return from, plaintext[timeSize:], nil
}

// replayWindowSize is the number of counters by which a datagram may arrive late.
const replayWindowSize = 1024

// replayWindow detects datagrams that were received before. It is a sliding window over the counters of the sender's latest
// boot; datagrams of an earlier boot are rejected.
type replayWindow struct {
	boot, highest uint64                        // latest boot, and the highest counter received from it
	seen          [replayWindowSize / 64]uint64 // bit set of the counters received, by counter modulo replayWindowSize
}

// accept records a datagram and reports whether it is new.
func (win *replayWindow) accept(boot, counter uint64) bool {
	if boot < win.boot || counter == 0 {
		return false
	}
	if boot > win.boot {
		*win = replayWindow{boot: boot}
	}
	if counter+replayWindowSize <= win.highest {
		return false
	}
	for ; win.highest < counter; win.highest++ {
		if counter-win.highest > replayWindowSize { // the counter is ahead of the whole window
			win.seen = [replayWindowSize / 64]uint64{}
			win.highest = counter - 1
			continue
		}
		bit := (win.highest + 1) % replayWindowSize
		win.seen[bit/64] &^= 1 << (bit % 64)
	}
	bit := counter % replayWindowSize
	if win.seen[bit/64]>>(bit%64)&1 == 1 {
		return false
	}
	win.seen[bit/64] |= 1 << (bit % 64)
	return true
}
