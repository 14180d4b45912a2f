package core

import "cometpond/policy"

// AttemptID identifies one attempt. It is unique within the process.
type AttemptID struct {
	Slot, Generation uint32
	Index            int // of the request's attempts, from 0
}

// Effects carries out the actions of a Machine, which calls it while one of its event methods runs.
type Effects interface {
	// Send sends an attempt. It is written within the time that timing allows for its start, or not at all.
	Send(id AttemptID, server string, payload []byte, timing policy.Timing)
	// Cancel ends an attempt; its reply will be ignored.
	Cancel(id AttemptID, server string)
	// Withdraw ends an attempt as not sent if it has not been written yet. Otherwise the attempt continues.
	Withdraw(id AttemptID, server string)
	// Probe asks a server for its load.
	Probe(server string)
	// SendToPeer sends to another instance, or to all others with policy.Broadcast.
	SendToPeer(instance int, data []byte)
	// Answered gives a call back with its answer.
	Answered(call *Call)
}

// Result is the end of an attempt as the back end saw it. Status is OK for any reply that is not an error.
type Result struct {
	Attempt AttemptID
	Status  policy.Status
	Payload []byte // with OK and Error: the unchanged reply of the server
	Load    *policy.Load
}
