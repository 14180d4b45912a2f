// Package readahead decides what becomes of the commands that a client sends while no more of them may be started, because
// as many of its commands are in progress as it may have. They are read all the same, as the end of the connection arrives
// behind them. As many as fit into the memory are kept, to be started later. Those after them are dropped, to be refused in
// their place.
//
// It has no I/O, no clock and no goroutine. A Queue is not safe for concurrent use.
package readahead

import (
	"cometpond/internal/membudget"
	"cometpond/internal/resp"
)

// Limits bound what a Queue keeps, in bytes.
type Limits struct {
	Command resp.Limits
	Free    int               // not counted against Memory
	Total   int               // kept at most
	Memory  *membudget.Budget // shared with all other connections; nil: Total alone is the bound
}

// Queue holds the commands of one connection that were read and not started. First come whole commands that are kept. They
// are followed either by the beginning of a command that is kept, too, or by commands that were dropped.
type Queue struct {
	limits Limits

	buffer []byte // what is kept, from start on
	start  int
	held   int // bytes of Memory

	framing  *resp.Skipper // reads the commands after the kept whole ones
	whole    int           // bytes of the kept whole commands, from start on
	dropping bool          // what follows the kept whole commands is dropped
	dropped  int           // whole commands dropped so far
	err      error         // a violation of the protocol; nothing after it is read
}

// New returns a Queue that continues input: whole commands, and perhaps the beginning of one. It keeps the slice if there is
// memory for it. dropped is the number of bytes at the end of input that it does not keep.
func New(limits Limits, input []byte) (queue *Queue, dropped int) {
	queue = &Queue{limits: limits, framing: resp.NewSkipper(limits.Command)}
	if len(input) <= limits.Total && queue.reserve(cap(input)) {
		queue.buffer = input
		queue.scan(input)
		return queue, 0
	}
	return queue, queue.Add(input)
}

// Add adds input that has arrived. It returns how many bytes of the queue's end are dropped: the first call that finds no
// memory drops the command that is still incomplete, too.
func (queue *Queue) Add(input []byte) (dropped int) {
	if !queue.dropping && queue.err == nil {
		if queue.keep(input) {
			queue.scan(input)
			return 0
		}
		dropped = queue.Len() - queue.whole
		queue.buffer = queue.buffer[:queue.start+queue.whole]
		queue.dropping = true
	}
	queue.drop(input)
	return dropped + len(input)
}

// keep appends input to the buffer, and reports false if there is no memory for it.
func (queue *Queue) keep(input []byte) bool {
	length := queue.Len()
	if length+len(input) > queue.limits.Total {
		return false
	}
	if len(queue.buffer)+len(input) > cap(queue.buffer) && length+len(input) <= cap(queue.buffer) {
		queue.buffer, queue.start = queue.buffer[:copy(queue.buffer, queue.Input())], 0
	}
	if len(queue.buffer)+len(input) > cap(queue.buffer) {
		size := max(length+len(input), min(2*cap(queue.buffer), queue.limits.Total))
		if !queue.reserve(size) {
			return false
		}
		queue.buffer, queue.start = append(make([]byte, 0, size), queue.Input()...), 0
	}
	queue.buffer = append(queue.buffer, input...)
	return true
}

// reserve takes the memory for a buffer of that size, and reports false if it is not available.
func (queue *Queue) reserve(size int) bool {
	needed := max(size-queue.limits.Free, 0)
	if needed > queue.held && !queue.limits.Memory.ReserveFurther(queue.held, needed-queue.held) {
		return false
	}
	queue.held = max(queue.held, needed)
	return true
}

// scan finds the ends of commands in input that is kept.
func (queue *Queue) scan(input []byte) {
	end := queue.Len()
	for len(input) > 0 {
		used, complete, err := queue.framing.Skip(input)
		input = input[used:]
		if err != nil {
			queue.err = err
			return
		}
		if complete {
			queue.whole = end - len(input)
			queue.framing.Reset()
		}
	}
}

// drop counts the commands that end in input.
func (queue *Queue) drop(input []byte) {
	for len(input) > 0 && queue.err == nil {
		used, complete, err := queue.framing.Skip(input)
		input = input[used:]
		queue.err = err
		if complete {
			queue.dropped++
			queue.framing.Reset()
		}
	}
}

// Input returns what is kept. The slice is valid until the next call of another method.
func (queue *Queue) Input() []byte { return queue.buffer[queue.start:] }

// Len returns the length of Input.
func (queue *Queue) Len() int { return len(queue.buffer) - queue.start }

// Consume removes whole commands from the beginning of Input, because they were started.
func (queue *Queue) Consume(bytes int) {
	queue.start += bytes
	queue.whole = max(queue.whole-bytes, 0)
}

// Rest is what is left of a Queue whose kept whole commands were all started.
type Rest struct {
	Incomplete []byte        // the beginning of the next command; nil if Dropped is not 0 or Skipper not nil
	Dropped    int           // whole commands that were dropped
	Skipper    *resp.Skipper // in the middle of a command whose beginning was dropped; nil if there is none
	Err        error         // a violation of the protocol after all these
}

// Finish ends the use of the queue, gives its memory back and returns the rest. Incomplete has a capacity of at least minCap
// bytes, if it is not empty.
func (queue *Queue) Finish(minCap int) Rest {
	rest := Rest{Dropped: queue.dropped, Err: queue.err}
	if queue.Len() > 0 {
		rest.Incomplete = append(make([]byte, 0, max(queue.Len(), minCap)), queue.Input()...)
	}
	if queue.dropping && queue.err == nil && queue.framing.Started() {
		rest.Skipper = queue.framing
	}
	queue.Close()
	return rest
}

// Close gives the queue's memory back, because its connection ends.
func (queue *Queue) Close() {
	queue.limits.Memory.Release(queue.held)
	queue.held, queue.buffer, queue.start = 0, nil, 0
}
