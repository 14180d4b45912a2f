package policy

import "encoding/binary"

// The bytes of a message between gateways: a header, then records of fixed
// size. What goes in, when and to whom is decided in policy.go.

const (
	msgVersion = 1
	msgHeader  = 4
	msgRecord  = 11
	msgLimit   = 256
	// msgMost is the number of records that one message holds.
	msgMost = (msgLimit - msgHeader) / msgRecord
	keyMask = 1<<26 - 1
)

// record is what two gateways tell each other of one customer. From a member to
// the owner, Total is the member's count in the window, Rate what it is asked for,
// Room the room it last heard. From the owner, Total is the count it has taken
// in, Rate what all others are asked for, Room the room left of the whole quota.
type record struct {
	Key    uint32 // 26 bits of the customer's hash
	Plan   int    // the plan's place in the settings, 15 at most
	Owner  bool   // the sender speaks as the owner
	Known  bool   // Room stands for something heard or counted
	Window uint8
	Total  float64 // units, in quarters, modulo 16384
	Room   float64 // units, in quarters, -64 to 16k
	Rate   float64 // units a second, in quarters, up to 63.75
	Out    uint8   // attempts out now
}

func appendHeader(b []byte, boot uint8, seq uint16) []byte {
	return append(b, msgVersion, boot, byte(seq>>8), byte(seq))
}

func clampQuarter(x, lo, hi float64) float64 { return min(max(x*4, lo), hi) }

func appendRecord(b []byte, r record) []byte {
	k := r.Key&keyMask | uint32(r.Plan&15)<<26
	if r.Owner {
		k |= 1 << 31
	}
	if r.Known {
		k |= 1 << 30
	}
	b = binary.BigEndian.AppendUint32(b, k)
	b = append(b, r.Window)
	b = binary.BigEndian.AppendUint16(b, uint16(int64(r.Total*4)))
	b = binary.BigEndian.AppendUint16(b, uint16(int16(clampQuarter(r.Room, -256, 32000))))
	return append(b, byte(clampQuarter(r.Rate, 0, 255)), r.Out)
}

// parseMessage returns false for anything that is not a whole message of this version.
func parseMessage(b []byte) (boot uint8, seq uint16, recs []record, ok bool) {
	if len(b) < msgHeader || len(b) > msgLimit || b[0] != msgVersion || (len(b)-msgHeader)%msgRecord != 0 {
		return 0, 0, nil, false
	}
	boot, seq = b[1], binary.BigEndian.Uint16(b[2:])
	for b = b[msgHeader:]; len(b) > 0; b = b[msgRecord:] {
		k := binary.BigEndian.Uint32(b)
		recs = append(recs, record{
			Key: k & keyMask, Plan: int(k >> 26 & 15), Owner: k>>31 == 1, Known: k>>30&1 == 1,
			Window: b[4], Total: float64(binary.BigEndian.Uint16(b[5:])) / 4,
			Room: float64(int16(binary.BigEndian.Uint16(b[7:]))) / 4,
			Rate: float64(b[9]) / 4, Out: b[10],
		})
	}
	return boot, seq, recs, true
}
