// Package endpoints follows the platform's list of backends: by HTTP, with a long poll for changes.
package endpoints

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"strconv"

	"cometpond/policy"
)

// mostHosts bounds the entries of one list.
const mostHosts = 4096

// List is a list of backends, whole or what has changed.
type List struct {
	Seq     uint64
	Whole   bool
	Servers []policy.Server
	Dial    map[string]string // where each server is reached
}

type wireList struct {
	Seq   *uint64    `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []wireHost `json:"hosts"`
}

type wireHost struct {
	Host   string   `json:"host"`
	Dial   string   `json:"dial"`
	Site   string   `json:"site"`
	Block  int      `json:"block"`
	Health string   `json:"health"`
	Share  *float64 `json:"share"`
	BornMS float64  `json:"born_ms"`
}

// Parse reads a list. A list is good as a whole or not at all: an error names the entry and what would be right.
func Parse(text []byte) (List, error) {
	var w wireList
	if err := json.Unmarshal(text, &w); err != nil {
		return List{}, fmt.Errorf("list of backends: %w", err)
	}
	switch {
	case w.Seq == nil:
		return List{}, fmt.Errorf("list of backends: seq is missing, want the list's version")
	case len(w.Hosts) > mostHosts:
		return List{}, fmt.Errorf("list of backends: %d entries, want %d at most", len(w.Hosts), mostHosts)
	}
	l := List{Seq: *w.Seq, Whole: w.Whole, Dial: map[string]string{}}
	for i, h := range w.Hosts {
		s := policy.Server{ID: h.Host, Zone: h.Site, Cell: h.Block, Weight: 1, StartedAt: h.BornMS / 1000}
		if h.Share != nil {
			s.Weight = *h.Share
		}
		switch h.Health {
		case "SERVING":
			s.State = policy.Up
		case "DRAINING":
			s.State = policy.Draining
		case "DELETED":
			s.State = policy.Removed
		default:
			return List{}, fmt.Errorf("list of backends: entry %d: health %q, want SERVING, DRAINING or DELETED", i, h.Health)
		}
		if h.Host == "" {
			return List{}, fmt.Errorf("list of backends: entry %d: host is empty, want the backend's name", i)
		}
		if s.State != policy.Removed {
			if err := Address(h.Dial); err != nil {
				return List{}, fmt.Errorf("list of backends: entry %d: dial: %w", i, err)
			}
			l.Dial[h.Host] = h.Dial
		}
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}

// Address checks that s is an IP address with a port from 1 to 65535. The error says what would be right.
func Address(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q, want an IP address with a port", s)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q, want a port from 1 to 65535", s)
	}
	return nil
}

// The figures of the watch, in seconds. Their sums keep the bounds of the platform: a change is asked for within 6 s of the
// moment from which discovery has it and can be reached, though the watch that is open then and two calls behind it are
// not answered, and within 4 s of a move, though three calls are not.
const (
	holdS    = 2.0  // a call may wait for news so long; what it has not brought counts as told 2 s after that
	answerS  = 0.7  // beyond that an answer takes so long at most
	connectS = 0.5  // of which the connection takes so long at most
	firstS   = 0.15 // and the first byte of a whole list, which is there at once where discovery is
	backoffS = 0.05 // after a call that failed
	patient  = 40   // calls in a row that nothing came of, after which one may take all of answerS: this end may be slow
)

// While discovery is down a call begins every firstS + backoffS: what it has at its return counts as told at once, and
// sends to backends that drain have to end within the rule's time, of which the shortest known is 0.25 s.

// Watch decides which call comes next and what an answer means. It has no I/O and no clock.
type Watch struct {
	seq   uint64
	known bool // seq is of a list from this source, and nothing was missed since
	fails int
	hosts map[string]backend // those of the lists so far
}

// backend is what a Watch keeps of one: when its last known process started, and whether it may be sent to.
type backend struct {
	born float64
	up   bool
}

// NewWatch returns a watch that knows a list from before, the zero List for none.
func NewWatch(known List) *Watch {
	w := &Watch{hosts: map[string]backend{}}
	w.Answered(known)
	w.Restart()
	return w
}

// Call is a call to discovery. Times are in seconds.
type Call struct {
	Path     string
	WaitS    float64 // to pass before the call
	FirstS   float64 // for the beginning of the answer
	TimeoutS float64 // for the whole of it
}

// Restart has the whole list asked for at once: lists come from another address from now on, or are to be trusted anew.
func (w *Watch) Restart() { w.known, w.fails = false, 0 }

// Next is the call to make now. A watch goes on only if the next call leaves at once, so only failures make it wait.
func (w *Watch) Next() Call {
	c := Call{Path: "/api/targets", FirstS: firstS, TimeoutS: answerS}
	if w.known {
		c.Path += "?since=" + strconv.FormatUint(w.seq, 10) + "&timeout_ms=" + strconv.Itoa(holdS*1000)
		c.TimeoutS += holdS
	}
	if w.known || w.fails > patient {
		c.FirstS = c.TimeoutS
	}
	if w.fails > 0 {
		c.WaitS = backoffS
	}
	return c
}

// Answered takes a good list and returns what of it holds. Changes are true whatever was asked for; those that come where
// the whole list was asked for are no answer to that, so it is asked for again after a pause.
//
// A list of a lower version than the one in force is an older one, or of a discovery that counts anew. It holds, but for
// this: it does not bring a backend back that drains or is gone, unless that has started anew since.
func (w *Watch) Answered(l List) List {
	older := l.Seq < w.seq
	if w.fails = 0; l.Whole || w.known {
		w.known = l.Whole || !older
	} else {
		w.fails = 1
	}
	w.seq = l.Seq
	if l.Whole && !older {
		for id, h := range w.hosts { // what is not named below is gone
			w.hosts[id] = backend{h.born, false}
		}
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		h, is := w.hosts[s.ID]
		if is && older && !h.up && s.State == policy.Up && s.StartedAt <= h.born {
			s.State = policy.Draining
		}
		w.hosts[s.ID] = backend{max(h.born, s.StartedAt), s.State == policy.Up}
	}
	if len(w.hosts) > 2*mostHosts {
		maps.DeleteFunc(w.hosts, func(_ string, h backend) bool { return !h.up })
	}
	return l
}

// Failed takes the news that a call brought no good list. The whole list is asked for then: changes may have been missed.
func (w *Watch) Failed() {
	w.fails++
	w.known = false
}
