package edge

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cometpond/internal/resp"
	"cometpond/internal/standin"
)

// sentTimes records when requests were sent, and judges the deadlines that are stated for them.
type sentTimes struct {
	mu     sync.Mutex
	sent   map[string]time.Time
	wait   map[string]time.Duration
	tooOld []string
}

// statedSlack is how much more time than the client has left may be stated to a server.
const statedSlack = 150 * time.Millisecond

func (times *sentTimes) add(id string, wait time.Duration) {
	times.mu.Lock()
	defer times.mu.Unlock()
	times.sent[id], times.wait[id] = time.Now(), wait
}

// judge checks the deadline of a command that a server has received.
func (times *sentTimes) judge(words []string) {
	_, rest, _ := strings.Cut(words[3], "d=")
	number, _, _ := strings.Cut(rest, ",")
	ms, _ := strconv.Atoi(number)
	times.mu.Lock()
	defer times.mu.Unlock()
	if sentAt, known := times.sent[words[2]]; known {
		if left := times.wait[words[2]] - time.Since(sentAt); time.Duration(ms)*time.Millisecond > left+statedSlack {
			times.tooOld = append(times.tooOld, fmt.Sprintf("%s: %d ms stated, %v left", words[2], ms, left))
		}
	}
}

// Clients that stop in the middle of long requests keep no other long request waiting past its time, however many they are
// and wherever they stop, and no server is told more time than the client has left.
func TestHalfSentRequestsDelayNoOther(t *testing.T) {
	const usualBody, wait, slack = 50 << 10, 600 * time.Millisecond, 550 * time.Millisecond
	for _, test := range []struct {
		clients, body, eighths int
		trickle                bool // they go on, a byte at a time
	}{{30, 50 << 10, 1, false}, {60, 50 << 10, 1, false}, {90, 64<<10 - 200, 7, false}, {80, 30 << 10, 4, true}} {
		t.Run(fmt.Sprintf("%d clients, %d bytes, %d eighths", test.clients, test.body, test.eighths), func(t *testing.T) {
			times := &sentTimes{sent: map[string]time.Time{}, wait: map[string]time.Duration{}}
			platform := newPlatform(t, 4, func(conn net.Conn, s standin.ReceivedCommand) {
				times.judge(s.Words)
				time.Sleep(20 * time.Millisecond)
				answerNow(conn, s)
			})
			_, addr := startLimited(t, platform, testMemoryMB, testSockets)
			stop := make(chan struct{})
			var tricklers sync.WaitGroup
			t.Cleanup(func() { close(stop); tricklers.Wait() })
			for range test.clients {
				bad := dial(t, addr)
				whole := longRequest("status", test.body)
				bad.send(whole[:len(whole)/8*test.eighths])
				if !test.trickle {
					continue
				}
				tricklers.Add(1)
				go func() {
					defer tricklers.Done()
					for {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
						}
						if _, err := bad.Write([]byte{'b'}); err != nil {
							return
						}
					}
				}()
			}
			time.Sleep(50 * time.Millisecond)
			var answered sync.WaitGroup
			var mu sync.Mutex
			served, late := 0, []string{}
			for range 30 {
				answered.Add(1)
				id := newID()
				conn := dial(t, addr)
				command := resp.AppendCommand(nil, "SVC.QUERY", "00000000b4d65521", id,
					fmt.Sprintf("c=status,t=basic,d=%d,units=1,spread=1,first=0", wait.Milliseconds()), strings.Repeat("b", usualBody))
				go func() {
					defer answered.Done()
					times.add(id, wait)
					sentAt := time.Now()
					_, err := conn.Write(command)
					text := ""
					if err == nil {
						text, err = readAnswer(conn.reader)
					}
					mu.Lock()
					defer mu.Unlock()
					if took := time.Since(sentAt); err != nil || took > wait+slack {
						late = append(late, fmt.Sprintf("%s after %v: %q, %v", id, took, text, err))
					} else if text == "value of "+id {
						served++
					}
				}()
				time.Sleep(40 * time.Millisecond)
			}
			answered.Wait()
			t.Logf("%d of 30 served, %d late, %d with too much time stated", served, len(late), len(times.tooOld))
			if len(late) > 0 {
				t.Errorf("answered late or not: %v", late)
			}
			if len(times.tooOld) > 0 {
				t.Errorf("too much time stated: %v", times.tooOld)
			}
			if served < 27 {
				t.Errorf("%d of 30 requests served", served)
			}
		})
	}
}
