package edge

import (
	"bytes"
	"context"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/backend"
	"cometpond/internal/core"
	"cometpond/policy"
)

// Times between two lines of totals.
const (
	totalsEvery      = 10 * time.Second
	totalsEveryTrace = time.Second
)

var kinds = map[core.AnswerKind]string{core.Served: "served", core.Refused: "refused", core.Failed: "failed", core.Admitted: "admitted"}

// traceRequests logs each step in the life of a request. It is for a look at one run: it costs more than the requests do.
func traceRequests(log zerolog.Logger) func(core.Event) {
	return func(n core.Event) {
		line := log.Info().Str("id", n.ID).Str("customer", n.Customer)
		switch n.Kind {
		case core.AttemptSent:
			line.Int("attempt", n.Attempt).Str("server", n.Server).Float64("within", n.TimeoutS).Msg("attempt sent")
		case core.AttemptEnded:
			line.Int("attempt", n.Attempt).Str("server", n.Server).Float64("took", n.ElapsedS).Stringer("status", n.Status).Msg("attempt ended")
		case core.CallAnswered:
			line.Float64("within", n.TimeoutS).Float64("took", n.ElapsedS).Str("why", n.Answer.Detail).Msg(kinds[n.Answer.Kind])
		case core.ClientDisconnected:
			line.Float64("took", n.ElapsedS).Msg("client left")
		}
	}
}

// tracedBackends logs each attempt as it is about to be written.
type tracedBackends struct {
	backend.Dialect
	log zerolog.Logger
}

// AppendAttempt logs an attempt by the customer and the id in its command, and passes it on.
func (t *tracedBackends) AppendAttempt(dst, payload []byte, leftS float64) []byte {
	if words := bytes.Fields(payload[:min(len(payload), 128)]); len(words) > 6 {
		t.log.Info().Bytes("customer", words[4]).Bytes("id", words[6]).Float64("left", leftS).Msg("attempt written")
	}
	return t.Dialect.AppendAttempt(dst, payload, leftS)
}

// watch logs totals until ctx is over, and with a trace what the module holds of each server.
func (e *Edge) watch(ctx context.Context) {
	every := totalsEvery
	if e.cfg.Trace {
		every = totalsEveryTrace
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			e.logTotals()
			return
		case <-tick.C:
		}
		if e.cfg.Trace {
			e.logBeliefs()
		}
		e.logTotals()
	}
}

// logBeliefs logs what the module holds of each server beside what its connections carry.
func (e *Edge) logBeliefs() {
	held := e.pool.ConnectionStats()
	for _, b := range e.loop.ServerEstimates() {
		h := held[b.Server.ID]
		e.log.Info().Str("server", b.Server.ID).Int("state", int(b.Server.State)).Int("believed_out", b.InFlight).Int("out", h.InFlight).
			Int("connections", h.Connections).Int("idle", h.Idle).Int("given_up", h.Cancelled).Float64("speed", b.LatencyRatio).
			Float64("sick", b.Suspicion).Float64("util", b.Util).Float64("util_age", b.UtilAgeS).Msg("belief")
	}
}

// logTotals logs the counts since the start.
func (e *Edge) logTotals() {
	s, p, c := e.loop.Status(), e.pool.Counts(), e.front.Counts()
	lists, failed := e.disc.Counts()
	refused := zerolog.Dict()
	for why, n := range s.RefusedByReason {
		if n > 0 {
			refused.Uint64(policy.Refusal(why).String(), n)
		}
	}
	e.log.Info().Uint64("lists", lists).Uint64("lists_failed", failed).Uint64("taken", s.Received).Uint64("served", s.Served).
		Uint64("refused", s.Refused).Dict("refused_for", refused).Uint64("failed", s.Failed).Uint64("gone", s.Disconnected).
		Uint64("too_late", s.DeadlinePassed).Uint64("overfull", s.Overloaded).Uint64("overdue", s.Overdue).Uint64("late", s.LateResults).
		Uint64("attempts", s.Attempts).Uint64("timeouts", s.Timeouts).Uint64("stalls", e.stalls.PauseCount()).
		Int("held", s.OpenRequests).Int("waiting", s.QueuedCalls).Uint64("dials", p.Dials).Uint64("dials_failed", p.DialsFailed).
		Uint64("broken", p.AttemptsBroken).Int64("box_connections", p.OpenConnections).Int("client_connections", e.front.OpenConnections()).
		Uint64("opened", c.Opened).Uint64("cut", c.Terminated).Uint64("evicted", c.Evicted).Uint64("parked", c.ReadsPaused).
		Uint64("ended_with_open_requests", c.Abandoned).Msg("totals")
}
