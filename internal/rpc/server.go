// Package rpc is the gRPC front end: Envoy's rate limit service and the gateway's own work service. It submits
// calls to the same core as the RESP front end, with the same customers and quotas, and makes no decisions.
package rpc

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/rs/zerolog"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"cometpond/internal/access"
	"cometpond/internal/config"
	"cometpond/internal/core"
	pb "cometpond/internal/rpc/cometpondv1"
	"cometpond/internal/syserr"
)

// Core is the part of the core that this front end uses.
type Core interface {
	Submit(calls []*core.Call) int
	Disconnected(calls []*core.Call)
	ReturnUnits(calls []*core.Call)
}

// Options are the settings of a Server.
type Options struct {
	config.GRPC
	Book *access.Registry
	Log  zerolog.Logger
}

// Counts are totals since the start.
type Counts struct {
	Calls, StreamRequests, OpenStreams, DeniedCalls uint64 // RPCs, requests on streams, streams open now, RPCs without valid credentials
	RejectedConnections                             uint64 // connections closed because too many were open
}

// Server is the gRPC front end.
type Server struct {
	pb.UnimplementedGatewayServer
	rlsv3.UnimplementedRateLimitServiceServer
	options    Options
	core       Core
	grpcServer *grpc.Server
	health     *health.Server
	listener   net.Listener
	serving    sync.WaitGroup
	draining   chan struct{} // closed when the server drains
	drainOnce  sync.Once

	calls, streamRequests, deniedCalls, rejectedConnections atomic.Uint64
	openStreams                                             atomic.Int64
}

// listenTimeout is how long Start retries to listen on an address that is not available yet.
const listenTimeout = 2 * time.Second

// Start listens and serves until Stop is called.
func Start(gatewayCore Core, options Options) (*Server, error) {
	srv := &Server{options: options, core: gatewayCore, draining: make(chan struct{}), health: health.NewServer()}
	serverOptions := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(uint32(options.MaxStreams)), grpc.MaxRecvMsgSize(options.MaxMessageBytes),
		grpc.MaxHeaderListSize(16 << 10), grpc.ConnectionTimeout(10 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	}
	if options.CertificateFile != "" {
		creds, err := transportCredentials(options.GRPC)
		if err != nil {
			return nil, err
		}
		serverOptions = append(serverOptions, grpc.Creds(creds))
	}
	srv.grpcServer = grpc.NewServer(serverOptions...)
	pb.RegisterGatewayServer(srv.grpcServer, srv)
	if len(options.Domains) > 0 {
		rlsv3.RegisterRateLimitServiceServer(srv.grpcServer, srv)
	}
	healthv1.RegisterHealthServer(srv.grpcServer, srv.health)
	reflection.Register(srv.grpcServer)
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	var listener net.Listener
	err := syserr.Retry(ctx, syserr.ListenRetryable, func() (err error) {
		listener, err = net.Listen("tcp", options.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", options.Listen, err)
	}
	srv.listener = &limitedListener{Listener: listener, maxOpen: int64(options.MaxConnections), rejected: &srv.rejectedConnections, log: options.Log}
	srv.serving.Add(1)
	go func() {
		defer srv.serving.Done()
		if err := srv.grpcServer.Serve(srv.listener); err != nil {
			options.Log.Error().Err(err).Msg("gRPC server ended")
		}
	}()
	return srv, nil
}

// limitedListener closes new connections beyond a maximum, so that those already open are not disturbed.
type limitedListener struct {
	net.Listener
	maxOpen  int64
	open     atomic.Int64
	rejected *atomic.Uint64
	log      zerolog.Logger
}

// Accept returns the next connection within the limit. It returns an error only when the listener is closed and
// retries after any other, because the gRPC server ends when Accept fails.
func (limited *limitedListener) Accept() (net.Conn, error) {
	var pause syserr.Backoff
	for {
		conn, err := limited.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		} else if err != nil {
			wait := pause.Next()
			limited.log.Warn().Err(err).Dur("pause_ms", wait).Msg("accept failed; retrying")
			time.Sleep(wait)
			continue
		}
		if limited.open.Add(1) <= limited.maxOpen {
			return &limitedConn{Conn: conn, open: &limited.open}, nil
		}
		limited.open.Add(-1)
		limited.rejected.Add(1)
		conn.Close()
	}
}

// limitedConn is a connection that is no longer counted as open once it is closed.
type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and frees its place under the limit.
func (conn *limitedConn) Close() error {
	conn.once.Do(func() { conn.open.Add(-1) })
	return conn.Conn.Close()
}

// transportCredentials loads the TLS files. It requires TLS 1.3 and, if an authority is configured, verifies the
// certificates of clients.
func transportCredentials(settings config.GRPC) (credentials.TransportCredentials, error) {
	pair, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("TLS certificate: %w", err)
	}
	tlsConfig := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if settings.ClientCAFile != "" {
		raw, err := os.ReadFile(settings.ClientCAFile)
		if err != nil {
			return nil, fmt.Errorf("authority of clients: %w", err)
		}
		tlsConfig.ClientCAs = x509.NewCertPool()
		if !tlsConfig.ClientCAs.AppendCertsFromPEM(raw) {
			return nil, fmt.Errorf("authority of clients: %s holds no certificate in PEM", settings.ClientCAFile)
		}
		// Callers without a certificate may send credentials in metadata, as rate limit callers do.
		tlsConfig.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return credentials.NewTLS(tlsConfig), nil
}

// Addr returns the address that the server listens on.
func (srv *Server) Addr() net.Addr { return srv.listener.Addr() }

// Drain reports the server as not serving to health checks and ends each stream once its requests in flight are
// answered. Calls in flight continue.
func (srv *Server) Drain() {
	srv.drainOnce.Do(func() {
		srv.health.Shutdown()
		close(srv.draining)
	})
}

// Stop sends GOAWAY and waits for calls in flight; when ctx ends it aborts the remaining ones.
func (srv *Server) Stop(ctx context.Context) {
	srv.Drain()
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.grpcServer.GracefulStop()
	}()
	select {
	case <-done:
	case <-ctx.Done():
		srv.grpcServer.Stop()
		<-done
	}
	srv.serving.Wait()
}

// Counts returns the totals so far.
func (srv *Server) Counts() Counts {
	return Counts{srv.calls.Load(), srv.streamRequests.Load(), uint64(srv.openStreams.Load()), srv.deniedCalls.Load(), srv.rejectedConnections.Load()}
}

// answerReceiver takes answered calls from the core and passes each to the RPC that waits for it.
type answerReceiver struct{}

// Answered never blocks: the channel in a call's tag has capacity for all calls of its RPC.
func (answerReceiver) Answered(calls []*core.Call) {
	for _, call := range calls {
		call.Tag.(chan *core.Call) <- call
	}
}

// errUnauthenticated ends RPCs of the work service without valid credentials.
var errUnauthenticated = status.Error(codes.Unauthenticated, "no good credentials: want a client's certificate, or authorization: Basic with its name and secret")

// statusError returns the gRPC status of a call that was refused or failed, nil for any other.
func statusError(answer *core.Answer) error {
	switch answer.Kind {
	case core.Refused:
		refused := status.New(codes.ResourceExhausted, answer.Detail)
		if answer.RetryAfterS > 0 {
			detailed, err := refused.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(answer.RetryAfterS * 1e9))})
			if err == nil { // it fails only for messages of an unregistered type
				refused = detailed
			}
		}
		return refused.Err()
	case core.Failed:
		return status.Error(codes.Unknown, answer.Detail)
	}
	return nil
}

// submitAndWait submits one call and waits for its answer. If ctx ends first, it reports to the core that the
// caller has disconnected.
func (srv *Server) submitAndWait(ctx context.Context, call *core.Call) error {
	if err := ctx.Err(); err != nil {
		return status.FromContextError(err).Err()
	}
	if deadline, ok := ctx.Deadline(); ok {
		if call.TimeoutS = time.Until(deadline).Seconds(); call.TimeoutS <= 0 {
			return status.Error(codes.DeadlineExceeded, "the deadline had passed on arrival; nothing was done")
		}
	}
	done := make(chan *core.Call, 1)
	call.Front, call.Tag = answerReceiver{}, done
	if srv.core.Submit([]*core.Call{call}) == 0 {
		return status.Error(codes.ResourceExhausted, "too many requests wait")
	}
	select {
	case <-done:
		return statusError(&call.Answer)
	case <-ctx.Done():
		srv.core.Disconnected([]*core.Call{call})
		return status.FromContextError(ctx.Err()).Err()
	}
}

// Do runs one request and returns its reply.
func (srv *Server) Do(ctx context.Context, request *pb.DoRequest) (*pb.DoResponse, error) {
	srv.calls.Add(1)
	client, ok := srv.authenticate(ctx)
	if !ok {
		return nil, errUnauthenticated
	}
	call, err := srv.workCall(client, request)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := srv.submitAndWait(ctx, &call); err != nil {
		return nil, err
	}
	return &pb.DoResponse{Reply: call.Answer.Payload}, nil
}

// workCall translates a request of the work service to a call of the core.
func (srv *Server) workCall(client *access.Client, request *pb.DoRequest) (core.Call, error) {
	words := request.GetWords()
	if len(words) == 0 || len(words[0]) == 0 {
		return core.Call{}, errors.New("no words, want a command of the settings with its further words")
	}
	words = append([][]byte{bytes.ToUpper(words[0])}, words[1:]...)
	call, known, err := srv.options.Book.ParseCommand(client, words)
	if err == nil && !known {
		err = fmt.Errorf("unknown command %q", words[0][:min(len(words[0]), 64)])
	}
	return call, err
}

// durationFromSeconds converts a wait to a duration. A wait that is infinite, NaN or negative becomes 0; plans
// without a rate have no finite wait.
func durationFromSeconds(seconds float64) *durationpb.Duration {
	if math.IsInf(seconds, 0) || math.IsNaN(seconds) || seconds < 0 {
		seconds = 0
	}
	return durationpb.New(time.Duration(seconds * 1e9))
}
