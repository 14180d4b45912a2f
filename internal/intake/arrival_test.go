package intake

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever is sent, read and parsed, and however often reading is paused, a command never counts as younger than it is, nor
// as sent before the last moment at which its bytes were known not to be there.
func TestArrivalsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var arr Arrivals
		var socket, buffered []arrival // bytes, with the time at which they arrived, and the earliest time that may be said
		var earliestSocket, earliestBuffered []float64
		now, lastSeen, reading := 0.0, 0.0, true
		known := rapid.Bool().Draw(t, "known")
		read := func(bytes int) {
			total, more := 0, true
			for bytes > 0 && len(socket) > 0 {
				n := min(bytes, socket[0].bytes)
				buffered, earliestBuffered = append(buffered, arrival{n, socket[0].at}), append(earliestBuffered, earliestSocket[0])
				if socket[0].bytes -= n; socket[0].bytes == 0 {
					socket, earliestSocket = socket[1:], earliestSocket[1:]
				}
				bytes, total = bytes-n, total+n
			}
			more = len(socket) > 0
			if total > 0 {
				arr.Read(now, total, more)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0.003, 0.05, 1}).Draw(t, "time")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				socket, earliestSocket = append(socket, arrival{rapid.IntRange(1, 50).Draw(t, "sent"), now}), append(earliestSocket, lastSeen)
				if reading {
					read(1 << 20)
				}
			case 2:
				if reading {
					read(1 << 20)
					arr.PauseReading(now)
					reading, lastSeen = false, now
				}
			case 3:
				if !reading {
					unread := 0
					for _, record := range socket {
						unread += record.bytes
					}
					if !known {
						unread = UnknownBytes
					} else {
						lastSeen = now
					}
					arr.ResumeReading(now, unread)
					reading = true
					read(rapid.SampledFrom([]int{20, 60, 1 << 20}).Draw(t, "read"))
					if len(socket) > 0 {
						arr.PauseReading(now) // the buffer is full
						reading = false
					}
				}
			case 5:
				bytes := rapid.IntRange(1, 120).Draw(t, "dropped")
				arr.DropLast(bytes)
				for last := len(buffered) - 1; bytes > 0 && last >= 0; last-- {
					n := min(bytes, buffered[last].bytes)
					if bytes -= n; n == buffered[last].bytes {
						buffered, earliestBuffered = buffered[:last], earliestBuffered[:last]
					} else {
						buffered[last].bytes -= n
					}
				}
			case 4:
				bytes := rapid.IntRange(1, 120).Draw(t, "parsed")
				parsed, arrivedAt, earliest := 0, now, now
				for bytes > 0 && len(buffered) > 0 {
					n := min(bytes, buffered[0].bytes)
					arrivedAt, earliest = buffered[0].at, earliestBuffered[0]
					if buffered[0].bytes -= n; buffered[0].bytes == 0 {
						buffered, earliestBuffered = buffered[1:], earliestBuffered[1:]
					}
					bytes, parsed = bytes-n, parsed+n
				}
				if said := arr.Parse(now, parsed); parsed > 0 && said > arrivedAt+maxSeparateS {
					t.Fatalf("said to have arrived at %v, arrived at %v", said, arrivedAt)
				} else if known && said < earliest-1e-9 {
					t.Fatalf("said to have arrived at %v, was not there before %v", said, earliest)
				}
			}
		}
	})
}

// Where the system does not say how much a socket contains, all is taken for old until a read has emptied it.
func TestArrivalsWithUnknownBytes(t *testing.T) {
	var arr Arrivals
	arr.PauseReading(1)
	arr.ResumeReading(2, UnknownBytes)
	arr.ResumeReading(2.5, UnknownBytes)
	for _, step := range []struct {
		now, want float64
		more      bool
	}{{3, 1, true}, {4, 1, false}, {5, 5, false}} {
		arr.Read(step.now, 10, step.more)
		if got := arr.Parse(step.now, 10); got != step.want {
			t.Errorf("read at %v: arrived at %v, want %v", step.now, got, step.want)
		}
	}
}

// The time of a command counts from its last byte, not from those that were there before.
func TestArrivalOfAnIncompleteCommand(t *testing.T) {
	var arr Arrivals
	for second := range 1000 {
		arr.Read(float64(second), 1, false)
		arr.ParsedAll()
	}
	if arr.Read(1000, 10, false); arr.Parse(1000, 1010) != 1000 || len(arr.buffered) != 0 || cap(arr.buffered) > 8 {
		t.Errorf("%+v, capacity %d", arr, cap(arr.buffered))
	}
}
