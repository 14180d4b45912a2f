package rpc

import (
	"errors"
	"io"
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cometpond/internal/core"
	pb "cometpond/internal/rpc/cometpondv1"
)

// Stream runs many requests at once. A request takes a place when it is read and gives it back when its
// answer has been written, so a client that does not read its answers is soon not read either.
func (s *Server) Stream(st grpc.BidiStreamingServer[pb.StreamRequest, pb.StreamResponse]) error {
	s.calls.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	client, ok := s.client(st.Context())
	if !ok {
		return errDenied
	}
	x := &exchange{s: s, st: st, back: make(chan *core.Call, s.opt.MaxStreamRequests), out: make(chan *pb.StreamResponse, s.opt.MaxStreamRequests),
		places: make(chan struct{}, s.opt.MaxStreamRequests), read: make(chan error, 1), under: map[*core.Call]uint64{}, taken: make(chan begun, s.opt.MaxStreamRequests)}
	go func() { // ends with the stream: Recv fails once the handler has returned
		x.read <- x.recv(func(r *pb.DoRequest) (core.Call, error) { return s.work(client, r) })
	}()
	return x.run()
}

// exchange is one Stream.
type exchange struct {
	s      *Server
	st     grpc.BidiStreamingServer[pb.StreamRequest, pb.StreamResponse]
	places chan struct{}           // one for each request under way
	taken  chan begun              // requests that the reader has submitted
	back   chan *core.Call         // from the core
	out    chan *pb.StreamResponse // answers of requests that never came to the core
	read   chan error              // how reading ended
	under  map[*core.Call]uint64   // the writer's: ids of requests under way
}

type begun struct {
	call *core.Call
	id   uint64
}

// recv reads requests as places come free.
func (x *exchange) recv(work func(*pb.DoRequest) (core.Call, error)) error {
	ctx := x.st.Context()
	for {
		select {
		case x.places <- struct{}{}:
		case <-x.s.drain:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		r, err := x.st.Recv()
		if err != nil {
			<-x.places
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		x.s.requests.Add(1)
		c, err := work(r.GetRequest())
		if err != nil {
			x.out <- &pb.StreamResponse{Id: r.GetId(), Result: &pb.StreamResponse_Invalid{Invalid: err.Error()}}
			continue
		}
		c.TimeoutS = float64(r.GetWithinMs()) / 1000
		c.Front, c.Tag = waiter{}, x.back
		x.taken <- begun{&c, r.GetId()}
		if x.s.core.Submit([]*core.Call{&c}) == 0 {
			c.Answer = core.Answer{Kind: core.Refused, Reason: core.Overloaded, Detail: "too many requests wait"}
			x.back <- &c
		}
	}
}

// run writes answers until the client has sent all and has all answers, has left, or the server drains and
// what was under way has ended.
func (x *exchange) run() error {
	ctx := x.st.Context()
	defer func() {
		for len(x.taken) > 0 {
			b := <-x.taken
			x.under[b.call] = b.id
		}
		var gone []*core.Call
		for c := range x.under {
			gone = append(gone, c)
		}
		if len(gone) > 0 {
			x.s.core.Disconnected(gone)
		}
	}()
	ended, drain, drained := false, x.s.drain, false
	for !ended || len(x.places) > 0 {
		var r *pb.StreamResponse
		select {
		case c := <-x.back:
			for { // its name came before it
				id, ok := x.under[c]
				if !ok {
					b := <-x.taken
					x.under[b.call] = b.id
					continue
				}
				delete(x.under, c)
				r = answer(id, &c.Answer)
				break
			}
		case r = <-x.out:
		case err := <-x.read:
			if err != nil {
				return err
			}
			ended = true
			continue
		case <-drain:
			drain, drained = nil, true // the reader may sit in Recv: it is not waited for
			if len(x.places) <= 1 && len(x.under) == 0 && len(x.taken) == 0 {
				return errDraining
			}
			continue
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
		if err := x.st.Send(r); err != nil {
			return err
		}
		<-x.places
		if drained && len(x.under) == 0 && len(x.taken) == 0 && len(x.back) == 0 && len(x.out) == 0 {
			return errDraining
		}
	}
	return nil
}

var errDraining = status.Error(codes.Unavailable, "this instance is shutting down; what it had read is answered")

func answer(id uint64, a *core.Answer) *pb.StreamResponse {
	r := &pb.StreamResponse{Id: id}
	switch a.Kind {
	case core.Refused:
		r.Result = &pb.StreamResponse_Refused{Refused: &pb.Refusal{Why: a.Detail, RetryMs: uint32(time.Duration(math.Ceil(a.RetryAfterS * 1000)))}}
	case core.Failed:
		r.Result = &pb.StreamResponse_Failed{Failed: &pb.Failure{Why: a.Detail}}
	default:
		r.Result = &pb.StreamResponse_Response{Response: &pb.DoResponse{Reply: a.Payload}}
	}
	return r
}
