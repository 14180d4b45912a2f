package core

import (
	"container/heap"
	"math"

	"cometpond/policy"
)

type timerKind uint8

const (
	policyTimer    timerKind = iota // set by the policy module
	attemptTimeout                  // the time for an attempt's answer is over
	requestOverdue                  // a request has no answer although its deadline and AnswerSlackS have passed
)

type timer struct {
	at         float64
	kind       timerKind
	slot       uint32 // for attemptTimeout and requestOverdue
	generation uint32
	attempt    int    // for attemptTimeout
	token      uint64 // for policyTimer
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (mach *Machine) setTimer(at float64, t timer) {
	t.at = at
	heap.Push(&mach.timers, t)
}

// NextTimer returns the time of the earliest timer, +Inf if there is none.
func (mach *Machine) NextTimer() float64 {
	if len(mach.timers) == 0 {
		return math.Inf(1)
	}
	return mach.timers[0].at
}

// Tick handles the timers that are due.
func (mach *Machine) Tick(now float64) {
	for len(mach.timers) > 0 && mach.timers[0].at <= now {
		due := heap.Pop(&mach.timers).(timer)
		mach.begin(now)
		switch due.kind {
		case policyTimer:
			mach.gateway.Timer(mach.now, due.token)
		case attemptTimeout:
			if req := &mach.slots[due.slot]; req.generation == due.generation && req.used && !req.attempts[due.attempt].ended {
				mach.counts.Timeouts++
				mach.effects.Cancel(AttemptID{due.slot, due.generation, due.attempt}, req.attempts[due.attempt].server)
				mach.endAttempt(due.slot, due.attempt, policy.Timeout, nil)
			}
		case requestOverdue:
			if req := &mach.slots[due.slot]; req.generation == due.generation && req.used && !req.finished {
				mach.counts.Overdue++
				mach.answerAll(due.slot, Answer{Kind: Failed, Detail: "no ruling in time"})
				mach.gateway.RequestAbandoned(mach.now, req.id)
				for index := range req.attempts {
					mach.cancelAttempt(due.slot, index)
				}
				mach.releaseSlot(due.slot, due.generation)
			}
		}
		mach.end()
	}
}
