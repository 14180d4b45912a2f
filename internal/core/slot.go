package core

import (
	"encoding/binary"

	"cometpond/internal/keys"
	"cometpond/policy"
)

// slot holds one request. Slots are reused; each request has a new generation of its slot.
type slot struct {
	generation        uint32
	used              bool
	finished          bool    // has its final answer, or needs none
	calls             []*Call // that wait for the answer
	class             int
	keyEntry          *keys.Entry
	earlierMayHaveRun bool // an earlier request of the key may have run
	possibleRuns      int  // number of attempts that may have run or may still run
	inFlight          int  // number of attempts whose end has not been reported to the policy module
	attempts          []attempt
	id                string // the request's ID in the policy module
	deadline          float64
	payload           []byte
}

type attempt struct {
	server string
	sentAt float64
	ended  bool
}

type endedAttempt struct {
	slot, generation uint32
	index            int
	status           policy.Status
	elapsedS         float64
	load             *policy.Load
}

// newSlot allocates a slot with a new generation, and therefore with a request ID that was never used before.
func (mach *Machine) newSlot() uint32 {
	var slotIndex uint32
	if n := len(mach.freeSlots); n > 0 {
		slotIndex = mach.freeSlots[n-1]
		mach.freeSlots = mach.freeSlots[:n-1]
	} else {
		slotIndex = uint32(len(mach.slots))
		mach.slots = append(mach.slots, slot{})
	}
	req := &mach.slots[slotIndex]
	*req = slot{generation: req.generation + 1, used: true, calls: req.calls[:0], attempts: req.attempts[:0]}
	var id [8]byte
	binary.BigEndian.PutUint32(id[:], slotIndex)
	binary.BigEndian.PutUint32(id[4:], req.generation)
	req.id = string(id[:])
	mach.openRequests++
	return slotIndex
}

// findSlot returns the slot of a request by its ID in the policy module, nil if it has been released.
func (mach *Machine) findSlot(id string) (uint32, *slot) {
	if len(id) != 8 {
		return 0, nil
	}
	slotIndex := uint32(id[0])<<24 | uint32(id[1])<<16 | uint32(id[2])<<8 | uint32(id[3])
	if int(slotIndex) >= len(mach.slots) || mach.slots[slotIndex].id != id || !mach.slots[slotIndex].used {
		return 0, nil
	}
	return slotIndex, &mach.slots[slotIndex]
}

// releaseSlot frees a slot once its request is finished and has no attempt in flight.
func (mach *Machine) releaseSlot(slotIndex, generation uint32) {
	req := &mach.slots[slotIndex]
	if req.used && req.generation == generation && req.finished && req.inFlight == 0 {
		clear(req.calls)
		req.used, req.calls, req.keyEntry, req.payload = false, req.calls[:0], nil, nil
		mach.freeSlots = append(mach.freeSlots, slotIndex)
		mach.openRequests--
	}
}
