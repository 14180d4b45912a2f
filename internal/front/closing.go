package front

import (
	"errors"
	"io"

	"github.com/rs/zerolog"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
)

// closeReason is why a client's connection ended.
type closeReason string

// The reasons.
const (
	clientClosed      closeReason = "client closed"
	connectionBroken  closeReason = "connection broken"
	writeFailed       closeReason = "write failed"
	answersUnread     closeReason = "answers not read in time"
	badInput          closeReason = "input against the protocol"
	unfinishedCommand closeReason = "command not finished in time"
	asked             closeReason = "the client asked for it"
	idleTooLong       closeReason = "idle"
	evictedForOther   closeReason = "evicted for a new connection"
	lingeredTooLong   closeReason = "client did not close in time"
	shuttingDown      closeReason = "shutting down"
)

// because notes why a connection is about to be closed; the first reason stands.
func (k *conn) because(r closeReason) {
	if k.reason == "" {
		k.reason = r
	}
}

// ended notes how a connection ended that this end did not close on purpose.
func (k *conn) ended(err error) {
	switch {
	case err == nil || errors.Is(err, eventloop.ErrStopped):
		k.because(shuttingDown) // all other closes of this end have a reason by now
	case errors.Is(err, io.EOF):
		k.because(clientClosed)
	default:
		k.because(connectionBroken)
		k.endError = err
	}
}

// report logs the end of a connection, with the names of the requests that had no answer. Their loss is worth a warning
// where it is not the client who left.
func (k *conn) report(open []*core.Call) {
	level := zerolog.DebugLevel
	if len(open) > 0 && k.reason != clientClosed && k.reason != connectionBroken {
		level = zerolog.WarnLevel
		k.loop.s.abandoned.Add(uint64(len(open)))
	}
	line := k.loop.s.opt.Log.WithLevel(level)
	if !line.Enabled() {
		return
	}
	names := zerolog.Arr()
	for _, c := range open[:min(len(open), reportedMost)] {
		names.Str(c.ID)
	}
	line.Uint64("connection", k.id).Str("reason", string(k.reason)).AnErr("error", k.endError).
		Int("open_requests", len(open)).Array("ids", names).Msg("client connection ended")
}

// reportedMost bounds the names of requests in one line of the log.
const reportedMost = 16
