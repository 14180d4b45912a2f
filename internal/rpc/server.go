// Package rpc is the gRPC front: Envoy's rate limit service for limits, and a work service of our own. It
// asks the same core as the RESP front, with the same customers and quotas, and decides nothing.
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

// Core is what this front needs of the core.
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
	Calls, StreamRequests, OpenStreams, DeniedCalls uint64 // rpcs, requests of streams, streams open now, rpcs without credentials
	RejectedConnections                             uint64 // connections closed because too many were open
}

// Server is the gRPC front.
type Server struct {
	pb.UnimplementedGatewayServer
	rlsv3.UnimplementedRateLimitServiceServer
	opt    Options
	core   Core
	server *grpc.Server
	health *health.Server
	ln     net.Listener
	served sync.WaitGroup
	drain  chan struct{} // closed when the server drains
	once   sync.Once

	calls, requests, denied, cut atomic.Uint64
	open                         atomic.Int64
}

// listenFor is how long Start waits for an address that it can't have at once.
const listenFor = 2 * time.Second

// Start listens and serves until Stop.
func Start(c Core, opt Options) (*Server, error) {
	s := &Server{opt: opt, core: c, drain: make(chan struct{}), health: health.NewServer()}
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(uint32(opt.MaxStreams)), grpc.MaxRecvMsgSize(opt.MaxMessageBytes),
		grpc.MaxHeaderListSize(16 << 10), grpc.ConnectionTimeout(10 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	}
	if opt.CertificateFile != "" {
		creds, err := transport(opt.GRPC)
		if err != nil {
			return nil, err
		}
		options = append(options, grpc.Creds(creds))
	}
	s.server = grpc.NewServer(options...)
	pb.RegisterGatewayServer(s.server, s)
	if len(opt.Domains) > 0 {
		rlsv3.RegisterRateLimitServiceServer(s.server, s)
	}
	healthv1.RegisterHealthServer(s.server, s.health)
	reflection.Register(s.server)
	ctx, cancel := context.WithTimeout(context.Background(), listenFor)
	defer cancel()
	var ln net.Listener
	err := syserr.Retry(ctx, syserr.ListenRetryable, func() (err error) {
		ln, err = net.Listen("tcp", opt.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", opt.Listen, err)
	}
	s.ln = &bounded{Listener: ln, most: int64(opt.MaxConnections), cut: &s.cut, log: opt.Log}
	s.served.Add(1)
	go func() {
		defer s.served.Done()
		if err := s.server.Serve(s.ln); err != nil {
			opt.Log.Error().Err(err).Msg("gRPC front ended")
		}
	}()
	return s, nil
}

// bounded is a listener that closes connections beyond a number, so that what is open goes on undisturbed.
type bounded struct {
	net.Listener
	most int64
	open atomic.Int64
	cut  *atomic.Uint64
	log  zerolog.Logger
}

// Accept returns the next connection for which there is room. It ends with the listener alone: the server would end with
// any other error.
func (b *bounded) Accept() (net.Conn, error) {
	var pause syserr.Backoff
	for {
		c, err := b.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		} else if err != nil {
			wait := pause.Next()
			b.log.Warn().Err(err).Dur("pause_ms", wait).Msg("a connection could not be taken")
			time.Sleep(wait)
			continue
		}
		if b.open.Add(1) <= b.most {
			return &counted{Conn: c, open: &b.open}, nil
		}
		b.open.Add(-1)
		b.cut.Add(1)
		c.Close()
	}
}

// counted gives its place back when it is closed.
type counted struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// transport reads the files of TLS: 1.3 at least, and clients' certificates where an authority is given.
func transport(g config.GRPC) (credentials.TransportCredentials, error) {
	pair, err := tls.LoadX509KeyPair(g.CertificateFile, g.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("TLS certificate: %w", err)
	}
	t := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if g.ClientCAFile != "" {
		raw, err := os.ReadFile(g.ClientCAFile)
		if err != nil {
			return nil, fmt.Errorf("authority of clients: %w", err)
		}
		t.ClientCAs = x509.NewCertPool()
		if !t.ClientCAs.AppendCertsFromPEM(raw) {
			return nil, fmt.Errorf("authority of clients: %s holds no certificate in PEM", g.ClientCAFile)
		}
		// Callers without one may still give credentials in metadata, as rate limit callers do.
		t.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return credentials.NewTLS(t), nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Drain tells health checks and streams that the server is going. Calls under way go on.
func (s *Server) Drain() {
	s.once.Do(func() {
		s.health.Shutdown()
		close(s.drain)
	})
}

// Stop sends GOAWAY and waits for the calls under way; once ctx is over it breaks what is left.
func (s *Server) Stop(ctx context.Context) {
	s.Drain()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.server.GracefulStop()
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.server.Stop()
		<-done
	}
	s.served.Wait()
}

// Counts returns the totals so far.
func (s *Server) Counts() Counts {
	return Counts{s.calls.Load(), s.requests.Load(), uint64(s.open.Load()), s.denied.Load(), s.cut.Load()}
}

// waiter gets calls back from the core: it hands each to the rpc that waits for it.
type waiter struct{}

// Answered never blocks: the channel in a call's tag has room for all of its rpc's calls.
func (waiter) Answered(calls []*core.Call) {
	for _, c := range calls {
		c.Tag.(chan *core.Call) <- c
	}
}

var errDenied = status.Error(codes.Unauthenticated, "no good credentials: want a client's certificate, or authorization: Basic with its name and secret")

// ended is the status of a call that was not served.
func ended(a *core.Answer) error {
	switch a.Kind {
	case core.Refused:
		st := status.New(codes.ResourceExhausted, a.Detail)
		if a.RetryAfterS > 0 {
			with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(a.RetryAfterS * 1e9))})
			if err == nil { // it fails for messages of no registered type alone
				st = with
			}
		}
		return st.Err()
	case core.Failed:
		return status.Error(codes.Unknown, a.Detail)
	}
	return nil
}

// run submits one call and waits for its answer, or tells the core that the caller is gone.
func (s *Server) run(ctx context.Context, c *core.Call) error {
	if err := ctx.Err(); err != nil {
		return status.FromContextError(err).Err()
	}
	if t, ok := ctx.Deadline(); ok {
		if c.TimeoutS = time.Until(t).Seconds(); c.TimeoutS <= 0 {
			return status.Error(codes.DeadlineExceeded, "the deadline had passed on arrival; nothing was done")
		}
	}
	done := make(chan *core.Call, 1)
	c.Front, c.Tag = waiter{}, done
	if s.core.Submit([]*core.Call{c}) == 0 {
		return status.Error(codes.ResourceExhausted, "too many requests wait")
	}
	select {
	case <-done:
		return ended(&c.Answer)
	case <-ctx.Done():
		s.core.Disconnected([]*core.Call{c})
		return status.FromContextError(ctx.Err()).Err()
	}
}

// Do runs one request.
func (s *Server) Do(ctx context.Context, r *pb.DoRequest) (*pb.DoResponse, error) {
	s.calls.Add(1)
	client, ok := s.client(ctx)
	if !ok {
		return nil, errDenied
	}
	c, err := s.work(client, r)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := s.run(ctx, &c); err != nil {
		return nil, err
	}
	return &pb.DoResponse{Reply: c.Answer.Payload}, nil
}

// work translates a request to the call that asks for it.
func (s *Server) work(client *access.Client, r *pb.DoRequest) (core.Call, error) {
	words := r.GetWords()
	if len(words) == 0 || len(words[0]) == 0 {
		return core.Call{}, errors.New("no words, want a command of the settings with its further words")
	}
	words = append([][]byte{bytes.ToUpper(words[0])}, words[1:]...)
	c, known, err := s.opt.Book.ParseCommand(client, words)
	if err == nil && !known {
		err = fmt.Errorf("unknown command %q", words[0][:min(len(words[0]), 64)])
	}
	return c, err
}

// seconds turns a wait into a duration; plans without a rate have none.
func seconds(x float64) *durationpb.Duration {
	if math.IsInf(x, 0) || math.IsNaN(x) || x < 0 {
		x = 0
	}
	return durationpb.New(time.Duration(x * 1e9))
}
