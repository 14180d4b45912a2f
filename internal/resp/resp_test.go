package resp

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func parseWords(s string, lim Limits) (string, int, error) {
	args, n, _, err := ParseCommand([]byte(s), nil, lim)
	var words []string
	for _, a := range args {
		words = append(words, fmt.Sprintf("%q", a))
	}
	return strings.Join(words, " "), n, err
}

func TestParseCommand(t *testing.T) {
	lim := Limits{Bulk: 20, Args: 3, Inline: 40, Depth: 2}
	for _, c := range []struct {
		in, want string
		n        int
		err      string
	}{
		{"*2\r\n$4\r\nECHO\r\n$2\r\nhi\r\nrest", `"ECHO" "hi"`, 22, ""},
		{"*1\r\n$0\r\n\r\n", `""`, 10, ""},
		{"*0\r\n", "", 4, ""},
		{"*-1\r\n", "", 5, ""},
		{"\r\n", "", 2, ""},
		{"PING\r\n", `"PING"`, 6, ""},
		{"PING\n", `"PING"`, 5, ""},
		{"ECHO \"a b\\n\" 'c\\'d'\r\n", `"ECHO" "a b\n" "c'd"`, 21, ""},
		{"*2\r\n$4\r\nECHO\r\n", "", 0, "incomplete"},
		{"*2\r\n$4\r\nEC", "", 0, "incomplete"},
		{"PIN", "", 0, "incomplete"},
		{"", "", 0, "incomplete"},
		{"*4\r\n", "", 0, "invalid multibulk length"},
		{"*x\r\n", "", 0, "invalid multibulk length"},
		{"*1\r\n$21\r\n", "", 0, "invalid bulk length"}, // rejected before its data arrives
		{"*1\r\n$-1\r\n", "", 0, "invalid bulk length"},
		{"*1\r\n$999999999999999999999\r\n", "", 0, "invalid bulk length"},
		{"*1\r\n:1\r\n", "", 0, "expected '$', got ':'"},
		{"*1\r\n$2\r\nhiXY", "", 0, "not ended by CRLF"},
		{strings.Repeat("a", 50), "", 0, "too big inline request"},
		{"a b c d\r\n", "", 0, "too many arguments"},
		{"ECHO \"a\r\n", "", 0, "unbalanced quotes"},
		{"ECHO \"a\"b\r\n", "", 0, "unbalanced quotes"},
	} {
		got, n, err := parseWords(c.in, lim)
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%q: error %v, want %q", c.in, err, c.err)
			}
		} else if err != nil || got != c.want || n != c.n {
			t.Errorf("%q: %s, %d, %v; want %s, %d", c.in, got, n, err, c.want, c.n)
		}
	}
}

// A command is complete only when all of it has arrived, wherever it is split, and need never exceeds its length.
func TestIncompleteCommand(t *testing.T) {
	whole := AppendCommand(nil, "SIGN.SUBMIT", "key-1", strings.Repeat("x", 300))
	for i := range whole {
		_, n, need, err := ParseCommand(whole[:i], nil, DefaultLimits)
		if !errors.Is(err, ErrIncomplete) || n != 0 || need <= i || need > len(whole) {
			t.Fatalf("split at %d of %d: n %d, need %d, %v", i, len(whole), n, need, err)
		}
	}
	if args, n, _, err := ParseCommand(whole, nil, DefaultLimits); err != nil || n != len(whole) || len(args) != 3 {
		t.Fatalf("complete command: %d of %d, %v", n, len(whole), err)
	}
}

func TestReplyLength(t *testing.T) {
	lim := Limits{Bulk: 20, Args: 8, Inline: 40, Depth: 3}
	for _, s := range []string{"+OK\r\n", "-ERR x\r\n", ":12\r\n", "$-1\r\n", "$0\r\n\r\n", "$2\r\nhi\r\n", "*-1\r\n",
		"*0\r\n", "*2\r\n:1\r\n*2\r\n+a\r\n$1\r\nb\r\n", "_\r\n", ",1.5\r\n", "#t\r\n", "%1\r\n+a\r\n~1\r\n:1\r\n",
		"|1\r\n+util\r\n,0.5\r\n+OK\r\n", "=7\r\ntxt:abc\r\n", "!3\r\nERR\r\n", "(123\r\n", "|0\r\n+OK\r\n"} {
		n, err := ReplyLength([]byte(s+"+next\r\n"), lim)
		if err != nil || n != len(s) {
			t.Errorf("%q: %d, %v; want %d", s, n, err, len(s))
		}
		for i := range s {
			if _, err := ReplyLength([]byte(s[:i]), lim); !errors.Is(err, ErrIncomplete) {
				t.Errorf("%q split at %d: %v", s, i, err)
			}
		}
	}
	for in, want := range map[string]string{"$21\r\n": "bulk length", "*9\r\n": "too many elements",
		"*1\r\n*1\r\n*1\r\n*1\r\n": "nested too deeply", "?\r\n": "unknown reply type", "\r\n": "empty line",
		"%5\r\n": "too many elements", "$2\r\nhiXX": "not ended"} {
		if _, err := ReplyLength([]byte(in), lim); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", in, err, want)
		}
	}
}

// A reply is refused as soon as it announces more than a reply may have in all.
func TestReplyLimit(t *testing.T) {
	limits := Limits{Bulk: 10, Args: 8, Inline: 32, Depth: 2, Reply: 40}
	if n, err := ReplyLength([]byte("*3\r\n$10\r\n0123456789\r\n$3\r\nabc\r\n:1\r\n"), limits); n != 34 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	if _, err := ReplyLength([]byte("*3\r\n$10\r\n0123456789\r\n$10\r\n01234567"), limits); err != ErrIncomplete {
		t.Error(err)
	}
	if _, err := ReplyLength([]byte("*3\r\n$10\r\n0123456789\r\n$10\r\n0123456789\r\n$10\r\n"), limits); err != ProtocolError("too big reply") {
		t.Error(err)
	}
}

func TestAppendDowngraded(t *testing.T) {
	for in, want := range map[string]string{
		"+OK\r\n": "+OK\r\n", "_\r\n": "$-1\r\n", "#t\r\n": ":1\r\n", "#f\r\n": ":0\r\n", ",1.5\r\n": "$3\r\n1.5\r\n",
		"%1\r\n+a\r\n~1\r\n_\r\n": "*2\r\n+a\r\n*1\r\n$-1\r\n", "=7\r\ntxt:abc\r\n": "$3\r\nabc\r\n",
		"!5\r\nERR x\r\n": "-ERR x\r\n", "|1\r\n+load\r\n:1\r\n$1\r\na\r\n": "$1\r\na\r\n", "*-1\r\n": "*-1\r\n",
	} {
		if got := string(AppendDowngraded(nil, []byte(in), DefaultLimits)); got != want {
			t.Errorf("%q: %q, want %q", in, got, want)
		}
	}
}

// FuzzParseCommand checks that no input makes the parser panic or consume more than it was given, and that a parsed command is
// parsed in the same way after it was written again.
func FuzzParseCommand(f *testing.F) {
	for _, s := range []string{"*2\r\n$4\r\nECHO\r\n$2\r\nhi\r\n", "PING\r\n", "ECHO 'a b' \"\\n\"\r\n", "*1\r\n$99999\r\n", "*-1\r\n", "\x00\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		lim := Limits{Bulk: 64, Args: 8, Inline: 64, Depth: 3}
		args, n, need, err := ParseCommand(in, nil, lim)
		if n > len(in) || err == nil && n == 0 || errors.Is(err, ErrIncomplete) && need <= len(in) {
			t.Fatalf("%q: n %d, need %d, %v", in, n, need, err)
		}
		if err == nil && len(args) > 0 {
			again, m, _, err := ParseCommand(AppendArgs(nil, args), nil, Limits{Bulk: 64, Args: 8, Inline: 64})
			if err != nil || len(again) != len(args) || m == 0 {
				t.Fatalf("%q: written and parsed again: %v, %d arguments of %d", in, err, len(again), len(args))
			}
		}
		if m, err := ReplyLength(in, lim); err == nil {
			AppendDowngraded(nil, in[:m], lim)
		}
	})
}

func BenchmarkParseCommand(b *testing.B) {
	buf := AppendCommand(nil, "CL.THROTTLE", "user:1", "15", "30", "60", "1")
	var args [][]byte
	b.SetBytes(int64(len(buf)))
	for b.Loop() {
		args, _, _, _ = ParseCommand(buf, args[:0], DefaultLimits)
	}
}

// However a command is split, skipping it reads as many bytes as parsing it, and rejects what parsing rejects.
func TestSkipperAgreesWithParser(t *testing.T) {
	limits := Limits{Bulk: 300, Args: 6, Inline: 40, Command: 700, ArraysOnly: true}
	for _, input := range []string{"*0\r\nrest", "*1\r\n$4\r\nPING\r\nrest", "*2\r\n$0\r\n\r\n$300\r\n" + strings.Repeat("x", 300) + "\r\n*1\r\n",
		"*5\r\n$3\r\nabc\r\n$2\r\n\r\n\r\n$1\r\n$\r\n$1\r\n*\r\n$100\r\n" + strings.Repeat("y", 100) + "\r\n", "PING\r\n", "*7\r\n", "*x\r\n",
		"*1\r\n$301\r\n", "*1\r\n$-1\r\n", "*1\r\n:5\r\n", "*" + strings.Repeat("1", 50) + "\r\n",
		"*3\r\n$300\r\n" + strings.Repeat("x", 300) + "\r\n$300\r\n" + strings.Repeat("x", 300) + "\r\n$300\r\n" + strings.Repeat("x", 300) + "\r\n"} {
		_, length, _, wantErr := ParseCommand([]byte(input), nil, limits)
		for size := 1; size <= len(input); size++ {
			skipper, total, complete := NewSkipper(limits), 0, false
			var err error
			for rest := []byte(input); len(rest) > 0 && !complete && err == nil; {
				piece := rest[:min(size, len(rest))]
				var used int
				used, complete, err = skipper.Skip(piece)
				total += used
				rest = rest[len(piece):]
			}
			if (err != nil) != (wantErr != nil) || err == nil && (!complete || total != length) {
				t.Fatalf("%q in pieces of %d: skipped %d, complete %v, %v; parsed %d, %v", input, size, total, complete, err, length, wantErr)
			}
		}
	}
	inline := limits
	inline.ArraysOnly = false
	if used, complete, err := NewSkipper(inline).Skip([]byte("PING a b\r\nPING")); used != 10 || !complete || err != nil {
		t.Error(used, complete, err)
	}
}
