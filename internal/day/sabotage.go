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

// ViolationHooks returns hooks with which an instance violates one rule: drain, repeat, lost, ceiling or cold; or with
// which it loses input, "input", which violates the rule that no request is lost. They test the auditor. The hooks
// wrap the interfaces between the parts of an instance, whose own code contains nothing of them.
func ViolationHooks(rule string) (instance.Hooks, error) {
	newHooks, ok := hooksByRule[rule]
	if !ok {
		var names []string
		for n := range hooksByRule {
			names = append(names, n)
		}
		sort.Strings(names)
		return instance.Hooks{}, fmt.Errorf("sabotage %q: want %s", rule, strings.Join(names, ", "))
	}
	return newHooks(), nil
}

var hooksByRule = map[string]func() instance.Hooks{
	// The instance treats servers that drain or have been removed as available.
	"drain": func() instance.Hooks {
		return instance.Hooks{ServerLists: func(s discovery.Sink) discovery.Sink {
			return &staleListSink{Sink: s, seen: map[string]policy.Server{}}
		}}
	},
	// Requests are sent to a server of a second zone as well.
	"repeat": func() instance.Hooks {
		servers := &serverList{}
		return instance.Hooks{ServerLists: servers.wrap,
			Backend: func(b core.Backend) core.Backend { return &duplicatingBackend{Backend: b, servers: servers} }}
	},
	// Every tenth call is accepted and dropped.
	"lost": func() instance.Hooks {
		return instance.Hooks{Calls: func(c front.Core) front.Core { return &droppingCore{Core: c} }}
	},
	// The beginning of a command that arrives in more than one read is discarded, a fault that the front once had.
	"input": func() instance.Hooks {
		return instance.Hooks{FilterInput: func(data []byte) []byte {
			if _, _, _, err := resp.ParseCommand(data, nil, resp.DefaultLimits); errors.Is(err, resp.ErrIncomplete) {
				return nil
			}
			return data
		}}
	},
	// Quotas and ceilings are not enforced.
	"ceiling": func() instance.Hooks {
		return instance.Hooks{Settings: func(s *policy.Settings) {
			for i := range s.Plans {
				s.Plans[i].Rate, s.Plans[i].Burst, s.Plans[i].CeilingRate = 0, 0, 0
			}
		}}
	},
	// A server that has just started receives all work.
	"cold": func() instance.Hooks {
		servers := &serverList{}
		return instance.Hooks{ServerLists: servers.wrap,
			Backend: func(b core.Backend) core.Backend { return &newestServerBackend{Backend: b, servers: servers} }}
	},
}

// staleListSink passes every list on with all servers ever seen marked as up.
type staleListSink struct {
	discovery.Sink
	seen map[string]policy.Server
}

func (sink *staleListSink) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	for _, s := range list {
		s.State = policy.Up
		sink.seen[s.ID] = s
	}
	all := make([]policy.Server, 0, len(sink.seen))
	for _, s := range sink.seen {
		all = append(all, s)
	}
	return sink.Sink.UpdateServers(all, whole)
}

// serverList keeps the list of servers that was last passed to the core.
type serverList struct {
	mu   sync.Mutex
	list []policy.Server
}

func (servers *serverList) wrap(sink discovery.Sink) discovery.Sink {
	return &listRecorder{sink, servers}
}

// listRecorder records each list of servers and passes it on.
type listRecorder struct {
	discovery.Sink
	servers *serverList
}

func (recorder *listRecorder) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	recorder.servers.mu.Lock()
	recorder.servers.list = list
	recorder.servers.mu.Unlock()
	return recorder.Sink.UpdateServers(list, whole)
}

// duplicatingBackend sends each request to a server of a second zone as well.
type duplicatingBackend struct {
	core.Backend
	servers *serverList
}

func (backend *duplicatingBackend) Send(a core.AttemptID, serverID string, payload []byte, timing policy.Timing) {
	backend.Backend.Send(a, serverID, payload, timing)
	backend.servers.mu.Lock()
	defer backend.servers.mu.Unlock()
	zone := ""
	for _, s := range backend.servers.list {
		if s.ID == serverID {
			zone = s.Zone
		}
	}
	for _, s := range backend.servers.list {
		if s.Zone != zone && s.State == policy.Up && s.StartedAt == 0 {
			// A cold server is left out: it might fail under the load, which violates another rule.
			a.Index += 100 // an index that the core doesn't know, so that it treats the answer as late
			backend.Backend.Send(a, s.ID, payload, timing)
			return
		}
	}
}

// droppingCore accepts every tenth call without passing it on.
type droppingCore struct {
	front.Core
	submitted atomic.Uint64
}

func (l *droppingCore) Submit(calls []*core.Call) int {
	for i, c := range calls {
		if l.submitted.Add(1)%10 == 0 {
			continue
		}
		if l.Core.Submit([]*core.Call{c}) == 0 {
			return i
		}
	}
	return len(calls)
}

// newestServerBackend sends all requests to the server that started last, within 8 s of its start.
type newestServerBackend struct {
	core.Backend
	servers *serverList
}

func (backend *newestServerBackend) Send(a core.AttemptID, serverID string, payload []byte, timing policy.Timing) {
	backend.servers.mu.Lock()
	newest, since := "", float64(time.Now().UnixNano())/1e9-8
	for _, s := range backend.servers.list {
		if s.State == policy.Up && s.StartedAt > since {
			newest, since = s.ID, s.StartedAt
		}
	}
	backend.servers.mu.Unlock()
	if newest != "" {
		serverID = newest
	}
	backend.Backend.Send(a, serverID, payload, timing)
}
