package day

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cometpond/internal/core"
	"cometpond/internal/discovery"
	"cometpond/internal/front"
	"cometpond/internal/instance"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// ViolationHooks returns hooks with which an instance breaks one rule: drain, repeat, lost, ceiling or cold; or with
// which it loses input, "input", which breaks the rule that no request is lost. The
// product knows nothing of them; they stand between its parts, so that the auditor can be tried.
func ViolationHooks(rule string) (instance.Hooks, error) {
	make, ok := saboteurs[rule]
	if !ok {
		var names []string
		for n := range saboteurs {
			names = append(names, n)
		}
		sort.Strings(names)
		return instance.Hooks{}, fmt.Errorf("sabotage %q: want %s", rule, strings.Join(names, ", "))
	}
	return make(), nil
}

var saboteurs = map[string]func() instance.Hooks{
	// Boxes that drain or are gone stay up in the instance's eyes.
	"drain": func() instance.Hooks {
		return instance.Hooks{ServerLists: func(s discovery.Sink) discovery.Sink { return &deaf{Sink: s, seen: map[string]policy.Server{}} }}
	},
	// Submissions go to a second room as well.
	"repeat": func() instance.Hooks {
		k := &rooms{}
		return instance.Hooks{ServerLists: k.lists, Backend: func(b core.Backend) core.Backend { return &doubler{Backend: b, rooms: k} }}
	},
	// Every tenth call is taken and forgotten.
	"lost": func() instance.Hooks {
		return instance.Hooks{Calls: func(c front.Core) front.Core { return &loser{Core: c} }}
	},
	// The head of a command that comes in more than one piece is thrown away, as the front once did.
	"input": func() instance.Hooks {
		return instance.Hooks{FilterInput: func(data []byte) []byte {
			if _, _, _, err := resp.ParseCommand(data, nil, resp.DefaultLimits); errors.Is(err, resp.ErrIncomplete) {
				return nil
			}
			return data
		}}
	},
	// Quotas and ceilings are not looked at.
	"ceiling": func() instance.Hooks {
		return instance.Hooks{Settings: func(s *policy.Settings) {
			for i := range s.Plans {
				s.Plans[i].Rate, s.Plans[i].Burst, s.Plans[i].CeilingRate = 0, 0, 0
			}
		}}
	},
	// A box that has just started gets all work.
	"cold": func() instance.Hooks {
		k := &rooms{}
		return instance.Hooks{ServerLists: k.lists, Backend: func(b core.Backend) core.Backend { return &crowd{Backend: b, rooms: k} }}
	},
}

type deaf struct {
	discovery.Sink
	seen map[string]policy.Server
}

func (d *deaf) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	for _, s := range list {
		s.State = policy.Up
		d.seen[s.ID] = s
	}
	all := make([]policy.Server, 0, len(d.seen))
	for _, s := range d.seen {
		all = append(all, s)
	}
	return d.Sink.UpdateServers(all, whole)
}

// rooms remembers the list on its way to the core.
type rooms struct {
	mu   sync.Mutex
	list []policy.Server
}

func (r *rooms) lists(s discovery.Sink) discovery.Sink { return &listener{s, r} }

type listener struct {
	discovery.Sink
	rooms *rooms
}

func (l *listener) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	l.rooms.mu.Lock()
	l.rooms.list = list
	l.rooms.mu.Unlock()
	return l.Sink.UpdateServers(list, whole)
}

type doubler struct {
	core.Backend
	rooms *rooms
}

func (d *doubler) Send(a core.AttemptID, box string, payload []byte, timing policy.Timing) {
	d.Backend.Send(a, box, payload, timing)
	d.rooms.mu.Lock()
	defer d.rooms.mu.Unlock()
	zone := ""
	for _, s := range d.rooms.list {
		if s.ID == box {
			zone = s.Zone
		}
	}
	for _, s := range d.rooms.list {
		if s.Zone != zone && s.State == policy.Up && s.StartedAt == 0 { // a cold one might fall over: another rule
			a.Index += 100 // no attempt that the core knows: its answer is late
			d.Backend.Send(a, s.ID, payload, timing)
			return
		}
	}
}

type loser struct {
	front.Core
	n atomic.Uint64
}

func (l *loser) Submit(calls []*core.Call) int {
	for i, c := range calls {
		if l.n.Add(1)%10 == 0 {
			continue
		}
		if l.Core.Submit([]*core.Call{c}) == 0 {
			return i
		}
	}
	return len(calls)
}

type crowd struct {
	core.Backend
	rooms *rooms
}

func (c *crowd) Send(a core.AttemptID, box string, payload []byte, timing policy.Timing) {
	c.rooms.mu.Lock()
	newest, since := "", float64(time.Now().UnixNano())/1e9-8
	for _, s := range c.rooms.list {
		if s.State == policy.Up && s.StartedAt > since {
			newest, since = s.ID, s.StartedAt
		}
	}
	c.rooms.mu.Unlock()
	if newest != "" {
		box = newest
	}
	c.Backend.Send(a, box, payload, timing)
}
