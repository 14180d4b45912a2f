package readahead

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cometpond/internal/membudget"
	"cometpond/internal/resp"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var commandLimits = resp.Limits{Bulk: 1000, Args: 4, Inline: 64, Depth: 1, Command: 3000, ArraysOnly: true}

// Whatever arrives in whatever pieces, and however much memory there is: each command is either kept whole or counted as dropped,
// in order, no more is kept than the limits allow, and all memory is given back.
func TestEachCommandIsKeptOrCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := membudget.New(rapid.IntRange(100, 20_000).Draw(t, "budget"))
		limits := Limits{Command: commandLimits, Free: rapid.IntRange(0, 500).Draw(t, "free"), Total: rapid.IntRange(1, 8_000).Draw(t, "total"), Memory: budget}
		var stream []byte
		var ends []int // offset of the end of each command
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			size := rapid.IntRange(0, 900).Draw(t, "size")
			stream = resp.AppendCommand(stream, fmt.Sprint("GET", i), string(bytes.Repeat([]byte{'\n'}, size)))
			ends = append(ends, len(stream))
		}
		first := rapid.IntRange(1, len(stream)).Draw(t, "first")
		sent := stream[:first]
		queue, dropped := New(limits, append([]byte(nil), sent...))
		started, kept := 0, first-dropped // commands started; bytes of the stream that are kept, from its start
		for len(sent) < len(stream) {
			if rapid.Bool().Draw(t, "start") && started < len(ends) && queue.Len() > 0 {
				args, length, _, err := resp.ParseCommand(queue.Input(), nil, commandLimits)
				if err == nil {
					if want := fmt.Sprint("GET", started); string(args[0]) != want {
						t.Fatalf("%s is started, want %s", args[0], want)
					}
					queue.Consume(length)
					started++
				}
			}
			piece := rapid.IntRange(1, min(1500, len(stream)-len(sent))).Draw(t, "piece")
			sent = stream[:len(sent)+piece]
			kept += piece - queue.Add(append([]byte(nil), sent[len(sent)-piece:]...))
			if queue.Len() > limits.Total || budget.Used() < cap(queue.buffer)-limits.Free {
				t.Fatalf("%d bytes kept in a buffer of %d, want %d at most; %d counted", queue.Len(), cap(queue.buffer), limits.Total, budget.Used())
			}
		}
		for queue.Len() > 0 {
			_, length, _, err := resp.ParseCommand(queue.Input(), nil, commandLimits)
			if err != nil {
				t.Fatalf("after %d commands: %v", started, err)
			}
			queue.Consume(length)
			started++
		}
		if started > 0 && ends[started-1] != kept || started == 0 && kept != 0 {
			t.Fatalf("%d bytes kept, and %d commands", kept, started)
		}
		rest := queue.Finish(0)
		if started+rest.Dropped != len(ends) || rest.Skipper != nil || rest.Err != nil || rest.Incomplete != nil {
			t.Fatalf("%d commands started and %d dropped of %d; %+v", started, rest.Dropped, len(ends), rest)
		}
		if budget.Used() != 0 {
			t.Fatalf("%d bytes still counted", budget.Used())
		}
	})
}

// The beginning of a command at the end of the queue is handed on, if it is kept, or else its rest can be skipped.
func TestIncompleteCommandAtTheEnd(t *testing.T) {
	command := resp.AppendCommand(nil, "SET", "value")
	half := command[:len(command)-3]
	queue, _ := New(Limits{Command: commandLimits, Total: 1000}, append([]byte(nil), command...))
	queue.Add(half)
	queue.Consume(len(command))
	if rest := queue.Finish(100); !bytes.Equal(rest.Incomplete, half) || cap(rest.Incomplete) < 100 || rest.Dropped != 0 || rest.Skipper != nil {
		t.Errorf("%+v", rest)
	}
	queue, _ = New(Limits{Command: commandLimits, Total: len(command) + 1}, append([]byte(nil), command...))
	if dropped := queue.Add(command[:1]) + queue.Add(command[1:]) + queue.Add(half); dropped != len(command)+len(half) {
		t.Errorf("%d bytes dropped, want %d", dropped, len(command)+len(half))
	}
	queue.Consume(len(command))
	rest := queue.Finish(0)
	if rest.Dropped != 1 || rest.Skipper == nil || rest.Incomplete != nil {
		t.Fatalf("%+v", rest)
	}
	if used, complete, err := rest.Skipper.Skip(append(command[len(half):], "*1"...)); used != 3 || !complete || err != nil {
		t.Error(used, complete, err)
	}
}

// After a violation of the protocol nothing is read, and it is reported unless it is kept.
func TestViolationEndsTheQueue(t *testing.T) {
	command := resp.AppendCommand(nil, "SET", "value")
	queue, _ := New(Limits{Command: commandLimits, Total: len(command)}, append([]byte(nil), command...))
	queue.Add(append(append([]byte(nil), command...), "no command\r\n*1\r\n"...))
	queue.Add(command)
	queue.Consume(len(command))
	if rest := queue.Finish(0); rest.Dropped != 1 || rest.Err == nil || rest.Skipper != nil {
		t.Errorf("%+v", rest)
	}
}
