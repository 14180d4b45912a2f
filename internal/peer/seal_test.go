package peer

import (
	"bytes"
	"errors"
	"flag"
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

// Every run generates the same cases; the flag -rapid.seed selects others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func newSealerPair(t interface{ Fatal(...any) }, boot uint64) (*sealer, *sealer) {
	key := bytes.Repeat([]byte{7}, 32)
	a, err := newSealer(key, 0, 3, boot)
	if err != nil {
		t.Fatal(err)
	}
	b, err := newSealer(key, 1, 3, boot)
	if err != nil {
		t.Fatal(err)
	}
	return a, b
}

const testTimeNS = int64(1e18)

func TestSealed(t *testing.T) {
	sender, receiver := newSealerPair(t, 5)
	datagram := sender.seal(1, []byte("hello"), testTimeNS)
	if bytes.Contains(datagram, []byte("hello")) {
		t.Fatal("the message is not encrypted")
	}
	from, message, err := receiver.open(datagram, netip.AddrPort{}, testTimeNS+1e9)
	if err != nil || from != 0 || string(message) != "hello" {
		t.Fatalf("%d %q %v", from, message, err)
	}
	if _, _, err := receiver.open(datagram, netip.AddrPort{}, testTimeNS); !errors.Is(err, ErrReplayed) {
		t.Errorf("received twice: %v", err)
	}
	for i := range datagram {
		bad := bytes.Clone(datagram)
		bad[i] ^= 1
		if _, _, err := receiver.open(bad, netip.AddrPort{}, testTimeNS); err == nil {
			t.Errorf("a change of byte %d is not detected", i)
		}
	}
	for i := range datagram {
		if _, _, err := receiver.open(datagram[:i], netip.AddrPort{}, testTimeNS); !errors.Is(err, ErrForeign) {
			t.Errorf("truncated to %d bytes: %v", i, err)
		}
	}
	if _, _, err := receiver.open(sender.seal(2, nil, testTimeNS), netip.AddrPort{}, testTimeNS); !errors.Is(err, ErrMisdirected) {
		t.Errorf("for another instance: %v", err)
	}
	if _, _, err := receiver.open(sender.seal(1, nil, testTimeNS-31e9), netip.AddrPort{}, testTimeNS); !errors.Is(err, ErrOld) {
		t.Errorf("31 s old: %v", err)
	}
	other, _ := newSealer(bytes.Repeat([]byte{8}, 32), 0, 3, 5)
	if _, _, err := receiver.open(other.seal(1, nil, testTimeNS), netip.AddrPort{}, testTimeNS); !errors.Is(err, ErrForeign) {
		t.Errorf("another key: %v", err)
	}
	stranger, _ := newSealer(bytes.Repeat([]byte{7}, 32), 9, 10, 5)
	if _, _, err := receiver.open(stranger.seal(1, nil, testTimeNS), netip.AddrPort{}, testTimeNS); !errors.Is(err, ErrMisdirected) {
		t.Errorf("an instance that is not listed: %v", err)
	}
}

// Datagrams of a restarted sender are accepted at once. From then on, those that it sent before the restart are rejected.
func TestRestartedSender(t *testing.T) {
	sender, receiver := newSealerPair(t, 5)
	restarted, _ := newSealerPair(t, 6)
	late := sender.seal(1, []byte("late"), testTimeNS)
	if _, _, err := receiver.open(restarted.seal(1, []byte("new"), testTimeNS), netip.AddrPort{}, testTimeNS); err != nil {
		t.Fatal(err)
	}
	if _, _, err := receiver.open(late, netip.AddrPort{}, testTimeNS); !errors.Is(err, ErrReplayed) {
		t.Fatalf("of an earlier boot: %v", err)
	}
}

// In any order of arrival, each counter is accepted at most once, and always if it is new and within the window.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var win replayWindow
		seen := map[uint64]bool{}
		highest := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			counter := rapid.Uint64Range(1, 4000).Draw(t, "counter")
			if rapid.Bool().Draw(t, "near") {
				counter = max(1, highest+rapid.Uint64Range(0, 20).Draw(t, "ahead")-min(highest, 10))
			}
			got := win.accept(1, counter)
			if got && seen[counter] {
				t.Fatalf("counter %d accepted twice", counter)
			}
			if !got && !seen[counter] && counter+replayWindowSize > highest {
				t.Fatalf("counter %d rejected, though new and only %d behind the highest", counter, highest-counter)
			}
			if got {
				seen[counter], highest = true, max(highest, counter)
			}
		}
	})
}
