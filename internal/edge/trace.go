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

// Intervals between two log lines of totals, without and with the trace.
const (
	totalsInterval      = 10 * time.Second
	traceTotalsInterval = time.Second
)

// answerEvents are the messages with which the trace logs the answers to requests.
var answerEvents = map[core.AnswerKind]string{core.Served: "served", core.Refused: "refused", core.Failed: "failed", core.Admitted: "admitted"}

// traceRequests returns an observer that logs each step in the processing of a request. It is for the diagnosis of a
// single run: logging costs more than the requests themselves.
func traceRequests(log zerolog.Logger) func(core.Event) {
	return func(note core.Event) {
		line := log.Info().Str("id", note.ID).Str("customer", note.Customer)
		switch note.Kind {
		case core.AttemptSent:
			line.Int("attempt", note.Attempt).Str("server", note.Server).Float64("within", note.TimeoutS).Msg("attempt sent")
		case core.AttemptEnded:
			line.Int("attempt", note.Attempt).Str("server", note.Server).Float64("took", note.ElapsedS).Stringer("status", note.Status).
				Msg("attempt ended")
		case core.CallAnswered:
			line.Float64("within", note.TimeoutS).Float64("took", note.ElapsedS).Str("why", note.Answer.Detail).Msg(answerEvents[note.Answer.Kind])
		case core.ClientDisconnected:
			line.Float64("took", note.ElapsedS).Msg("client left")
		}
	}
}

// tracingProtocol wraps the server protocol and logs each attempt right before it is written.
type tracingProtocol struct {
	backend.Dialect
	log zerolog.Logger
}

// AppendAttempt logs the customer and the request id in the attempt's command, then calls the wrapped protocol.
func (tracing *tracingProtocol) AppendAttempt(dst, payload []byte, remainingS float64) []byte {
	if words := bytes.Fields(payload[:min(len(payload), 128)]); len(words) > 6 {
		tracing.log.Info().Bytes("customer", words[4]).Bytes("id", words[6]).Float64("left", remainingS).Msg("attempt written")
	}
	return tracing.Dialect.AppendAttempt(dst, payload, remainingS)
}

// logPeriodically logs the totals, and with the trace the state of each server, until ctx is done.
func (ingress *Ingress) logPeriodically(ctx context.Context) {
	interval := totalsInterval
	if ingress.cfg.Trace {
		interval = traceTotalsInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			ingress.logTotals()
			return
		case <-tick.C:
		}
		if ingress.cfg.Trace {
			ingress.logServerStates()
		}
		ingress.logTotals()
	}
}

// logServerStates logs the state of each server as the policy module estimates it, next to the state of the connections.
func (ingress *Ingress) logServerStates() {
	pool := ingress.pool.ConnectionStats()
	for _, estimate := range ingress.loop.ServerEstimates() {
		actual := pool[estimate.Server.ID]
		ingress.log.Info().Str("server", estimate.Server.ID).Int("state", int(estimate.Server.State)).
			Int("believed_out", estimate.InFlight).Int("out", actual.InFlight).
			Int("connections", actual.Connections).Int("idle", actual.Idle).Int("given_up", actual.Cancelled).Float64("speed", estimate.LatencyRatio).
			Float64("sick", estimate.Suspicion).Float64("util", estimate.Util).Float64("util_age", estimate.UtilAgeS).Msg("belief")
	}
}

// logTotals logs the totals since the start. The names of the attributes are read by operators' tools.
func (ingress *Ingress) logTotals() {
	status, pool, clients := ingress.loop.Status(), ingress.pool.Counts(), ingress.front.Counts()
	lists, failed := ingress.discovery.Counts()
	refused := zerolog.Dict()
	for reason, n := range status.RefusedByReason {
		if n > 0 {
			refused.Uint64(policy.Refusal(reason).String(), n)
		}
	}
	ingress.log.Info().Uint64("lists", lists).Uint64("lists_failed", failed).Uint64("taken", status.Received).Uint64("served", status.Served).
		Uint64("refused", status.Refused).Dict("refused_for", refused).Uint64("failed", status.Failed).Uint64("gone", status.Disconnected).
		Uint64("too_late", status.DeadlinePassed).Uint64("overfull", status.Overloaded).Uint64("overdue", status.Overdue).Uint64("late", status.LateResults).
		Uint64("attempts", status.Attempts).Uint64("timeouts", status.Timeouts).Uint64("stalls", ingress.pauses.PauseCount()).
		Int("held", status.OpenRequests).Int("waiting", status.QueuedCalls).Uint64("dials", pool.Dials).Uint64("dials_failed", pool.DialsFailed).
		Uint64("broken", pool.AttemptsBroken).Int64("box_connections", pool.OpenConnections).Int("client_connections", ingress.front.OpenConnections()).
		Uint64("opened", clients.Opened).Uint64("cut", clients.Terminated).Uint64("evicted", clients.Evicted).Uint64("parked", clients.ReadsPaused).
		Uint64("ended_with_open_requests", clients.Abandoned).Int("input_held", clients.Input.GrantedBytes).
		Int("input_waiting", clients.Input.Waiting).Uint64("input_skipped", clients.Skipped).Int("memory_held", ingress.memory.Used()).
		Uint64("out_of_memory", clients.OutOfMemory).Uint64("replies_out_of_memory", pool.RepliesOutOfMemory).Msg("totals")
}
