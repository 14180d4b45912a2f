package policy

import (
	"encoding/binary"
	"math"
)

// Encoding of the messages between gateways: a header, quota records of fixed
// size, then server updates of fixed size. policy.go decides what is sent, when
// and to whom.

const (
	msgVersion     = 2
	msgHeaderBytes = 5
	msgCountOffset = 4 // position of the number of quota records
	msgUpdateBytes = 5
	loadUpdate     = 255  // in place of a class: the update carries the server's utilization
	updateAgeStepS = 0.02 // unit of an update's age on the wire
	msgRecordBytes = 17
	msgMaxBytes    = 256
	retryStepS     = 0.05 // unit of RetryAfterS on the wire
)

// quotaRecord is what two gateways report to each other about one customer. From a
// member to the owner, Total is the member's own count, DemandRate the demand it sees,
// and Remaining the remaining units that the owner last reported. From the owner,
// Total is the member's count as applied or reserved by the owner, DemandRate the
// demand at all other gateways, and Remaining what is left of the whole quota.
type quotaRecord struct {
	Key            uint32  // 32 bits of the customer's hash
	PlanIndex      int     // index of the plan in the settings, at most 15
	FromOwner      bool    // the sender is the owner
	RemainingKnown bool    // Remaining was reported or counted, not assumed
	FromReserve    bool    // member: the recipient holds the reserve; owner: the reserve paid
	Total          float64 // units, in quarters, modulo 16384
	Remaining      float64 // units, in quarters, -64 to 8000
	DemandRate     float64 // units per second, in quarters, up to 16383.75
	InFlight       int     // attempts in flight, up to 65535
	Unacked        float64 // units not yet acknowledged by any owner, up to 63.75; member only
	Requested      float64 // units of waiting requests, up to 63.75; owner: copied into the reply
	FirstRequested float64 // units of the first waiting request, up to 63.75; member only
	ValueDeficit   float64 // value deficit of that request's class, 0 to 1; member only
	RetryAfterS    float64 // seconds until asking again makes sense, up to 12.75; owner only
}

func appendHeader(b []byte, bootID uint8, seq uint16) []byte {
	return append(b, msgVersion, bootID, byte(seq>>8), byte(seq), 0)
}

func clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

func appendRecord(b []byte, rec quotaRecord) []byte {
	head := byte(rec.PlanIndex & 15)
	for i, on := range []bool{rec.FromOwner, rec.RemainingKnown, rec.FromReserve} {
		if on {
			head |= 1 << (7 - i)
		}
	}
	b = append(binary.BigEndian.AppendUint32(b, rec.Key), head)
	b = binary.BigEndian.AppendUint16(b, uint16(int64(math.Floor(rec.Total*4+0.5))))
	b = binary.BigEndian.AppendUint16(b, uint16(int16(clamp(rec.Remaining*4, -256, 32000))))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(rec.DemandRate*4, 0, math.MaxUint16)))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(float64(rec.InFlight), 0, math.MaxUint16)))
	first := math.Ceil(rec.FirstRequested * 4)
	if rec.FromOwner {
		first = math.Ceil(rec.RetryAfterS / retryStepS)
	}
	return append(b, byte(clamp(rec.Unacked*4, 0, 255)), byte(clamp(math.Ceil(rec.Requested*4), 0, 255)),
		byte(clamp(first, 0, 255)), byte(clamp(rec.ValueDeficit*255, 0, 255)))
}

func appendServerUpdate(b []byte, update serverUpdate, now float64) []byte {
	b = binary.BigEndian.AppendUint16(b, update.serverHash)
	return append(b, byte(update.class), byte(clamp(update.value*255, 0, 255)),
		byte(clamp((now-update.at)/updateAgeStepS, 0, 255)))
}

// parseMessage decodes a message. It returns false unless b is one whole message of this version.
func parseMessage(b []byte, now float64) (
	bootID uint8, seq uint16, recs []quotaRecord, updates []serverUpdate, ok bool) {
	if len(b) < msgHeaderBytes || len(b) > msgMaxBytes || b[0] != msgVersion {
		return 0, 0, nil, nil, false
	}
	bootID, seq = b[1], binary.BigEndian.Uint16(b[2:])
	n := int(b[msgCountOffset])
	b = b[msgHeaderBytes:]
	if len(b) < n*msgRecordBytes || (len(b)-n*msgRecordBytes)%msgUpdateBytes != 0 {
		return 0, 0, nil, nil, false
	}
	for ; n > 0; n, b = n-1, b[msgRecordBytes:] {
		rec := quotaRecord{
			Key: binary.BigEndian.Uint32(b), PlanIndex: int(b[4] & 15), FromOwner: b[4]>>7 == 1,
			RemainingKnown: b[4]>>6&1 == 1, FromReserve: b[4]>>5&1 == 1,
			Total:      float64(binary.BigEndian.Uint16(b[5:])) / 4,
			Remaining:  float64(int16(binary.BigEndian.Uint16(b[7:]))) / 4,
			DemandRate: float64(binary.BigEndian.Uint16(b[9:])) / 4, InFlight: int(binary.BigEndian.Uint16(b[11:])),
			Unacked: float64(b[13]) / 4, Requested: float64(b[14]) / 4, ValueDeficit: float64(b[16]) / 255,
		}
		if rec.FromOwner {
			rec.RetryAfterS = float64(b[15]) * retryStepS
		} else {
			rec.FirstRequested = float64(b[15]) / 4
		}
		recs = append(recs, rec)
	}
	for ; len(b) > 0; b = b[msgUpdateBytes:] {
		updates = append(updates, serverUpdate{binary.BigEndian.Uint16(b), int(b[2]), float64(b[3]) / 255,
			now - float64(b[4])*updateAgeStepS})
	}
	return bootID, seq, recs, updates, true
}
