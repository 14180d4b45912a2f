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

// Stream runs many requests concurrently. A request takes a slot when it is read and frees it when its answer
// has been written, so the server soon stops reading from a client that does not read its answers.
func (srv *Server) Stream(stream grpc.BidiStreamingServer[pb.StreamRequest, pb.StreamResponse]) error {
	srv.calls.Add(1)
	srv.openStreams.Add(1)
	defer srv.openStreams.Add(-1)
	client, ok := srv.authenticate(stream.Context())
	if !ok {
		return errUnauthenticated
	}
	session := &streamSession{server: srv, stream: stream, answered: make(chan *core.Call, srv.options.MaxStreamRequests), rejected: make(chan *pb.StreamResponse, srv.options.MaxStreamRequests),
		slots: make(chan struct{}, srv.options.MaxStreamRequests), readResult: make(chan error, 1), inFlight: map[*core.Call]uint64{}, submitted: make(chan submission, srv.options.MaxStreamRequests)}
	go func() { // ends with the stream, since Recv fails once the handler has returned
		session.readResult <- session.receive(func(request *pb.DoRequest) (core.Call, error) { return srv.workCall(client, request) })
	}()
	return session.writeAnswers()
}

// streamSession is the state of one Stream call.
type streamSession struct {
	server     *Server
	stream     grpc.BidiStreamingServer[pb.StreamRequest, pb.StreamResponse]
	slots      chan struct{}           // one element for each request in flight
	submitted  chan submission         // requests that the reader is submitting to the core
	answered   chan *core.Call         // calls that the core has answered
	rejected   chan *pb.StreamResponse // answers to invalid requests, which are not submitted to the core
	readResult chan error              // result of receive
	inFlight   map[*core.Call]uint64   // ids of requests in flight; used by writeAnswers alone
}

// submission is a submitted request with the id that the client gave it.
type submission struct {
	call *core.Call
	id   uint64
}

// receive reads requests as slots become free and submits them to the core.
func (session *streamSession) receive(toCall func(*pb.DoRequest) (core.Call, error)) error {
	ctx := session.stream.Context()
	for {
		select {
		case session.slots <- struct{}{}:
		case <-session.server.draining:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		request, err := session.stream.Recv()
		if err != nil {
			<-session.slots
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		session.server.streamRequests.Add(1)
		call, err := toCall(request.GetRequest())
		if err != nil {
			session.rejected <- &pb.StreamResponse{Id: request.GetId(), Result: &pb.StreamResponse_Invalid{Invalid: err.Error()}}
			continue
		}
		call.TimeoutS = float64(request.GetWithinMs()) / 1000
		call.Front, call.Tag = answerReceiver{}, session.answered
		session.submitted <- submission{&call, request.GetId()}
		if session.server.core.Submit([]*core.Call{&call}) == 0 {
			call.Answer = core.Answer{Kind: core.Refused, Reason: core.Overloaded, Detail: "too many requests wait"}
			session.answered <- &call
		}
	}
}

// writeAnswers writes answers until the client has closed its side and received all of them, has disconnected, or
// the server drains and the requests in flight have ended.
func (session *streamSession) writeAnswers() error {
	ctx := session.stream.Context()
	defer func() {
		for len(session.submitted) > 0 {
			submitted := <-session.submitted
			session.inFlight[submitted.call] = submitted.id
		}
		var abandoned []*core.Call
		for call := range session.inFlight {
			abandoned = append(abandoned, call)
		}
		if len(abandoned) > 0 {
			session.server.core.Disconnected(abandoned)
		}
	}()
	inputEnded, draining, drained := false, session.server.draining, false
	for !inputEnded || len(session.slots) > 0 {
		var response *pb.StreamResponse
		select {
		case call := <-session.answered:
			for { // its submission was queued before its answer
				id, ok := session.inFlight[call]
				if !ok {
					submitted := <-session.submitted
					session.inFlight[submitted.call] = submitted.id
					continue
				}
				delete(session.inFlight, call)
				response = streamResponse(id, &call.Answer)
				break
			}
		case response = <-session.rejected:
		case err := <-session.readResult:
			if err != nil {
				return err
			}
			inputEnded = true
			continue
		case <-draining:
			draining, drained = nil, true // does not wait for the reader, which may be blocked in Recv
			if len(session.slots) <= 1 && len(session.inFlight) == 0 && len(session.submitted) == 0 {
				return errDraining
			}
			continue
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
		if err := session.stream.Send(response); err != nil {
			return err
		}
		<-session.slots
		if drained && len(session.inFlight) == 0 && len(session.submitted) == 0 && len(session.answered) == 0 && len(session.rejected) == 0 {
			return errDraining
		}
	}
	return nil
}

// errDraining ends a stream when the server drains.
var errDraining = status.Error(codes.Unavailable, "this instance is shutting down; what it had read is answered")

// streamResponse converts an answer of the core to the response for the request with this id.
func streamResponse(id uint64, answer *core.Answer) *pb.StreamResponse {
	response := &pb.StreamResponse{Id: id}
	switch answer.Kind {
	case core.Refused:
		response.Result = &pb.StreamResponse_Refused{Refused: &pb.Refusal{Why: answer.Detail, RetryMs: uint32(time.Duration(math.Ceil(answer.RetryAfterS * 1000)))}}
	case core.Failed:
		response.Result = &pb.StreamResponse_Failed{Failed: &pb.Failure{Why: answer.Detail}}
	default:
		response.Result = &pb.StreamResponse_Response{Response: &pb.DoResponse{Reply: answer.Payload}}
	}
	return response
}
