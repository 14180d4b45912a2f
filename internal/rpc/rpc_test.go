package rpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	ratelimitv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cometpond/internal/access"
	"cometpond/internal/config"
	"cometpond/internal/core"
	pb "cometpond/internal/rpc/cometpondv1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scripted is a core that answers by what the payload says, and counts units against one quota.
type scripted struct {
	mu    sync.Mutex
	calls []*core.Call
	gone  int
	room  float64
	held  chan *core.Call
}

func (s *scripted) Submit(calls []*core.Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range calls {
		s.calls = append(s.calls, c)
		text := string(c.Payload)
		a := core.Answer{Payload: []byte("+did " + c.Key + "\r\n")}
		switch {
		case strings.Contains(text, "hold"):
			s.held <- c
			continue
		case strings.Contains(text, "refuse"):
			a = core.Answer{Kind: core.Refused, RetryAfterS: 0.25, Detail: "over quota"}
		case strings.Contains(text, "fail"):
			a = core.Answer{Kind: core.Failed, Detail: "may have run"}
		case c.QuotaOnly && c.Units <= s.room:
			s.room -= c.Units
			a = core.Answer{Kind: core.Admitted, Quota: core.Quota{Rate: 10, Burst: 20, Remaining: s.room, ResetS: (20 - s.room) / 10}}
		case c.QuotaOnly:
			a = core.Answer{Kind: core.Refused, Quota: core.Quota{Rate: 10, Burst: 20, Remaining: s.room, RetryAfterS: 0.3, ResetS: 2}}
		}
		give(c, a)
	}
	return len(calls)
}

func give(c *core.Call, a core.Answer) {
	c.Answer = a
	c.Front.Answered([]*core.Call{c})
}

func (s *scripted) Disconnected(calls []*core.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone += len(calls)
}

func (s *scripted) ReturnUnits(calls []*core.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range calls {
		s.room += c.Units
	}
}

func (s *scripted) seen() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.calls) }
func (s *scripted) left() int { s.mu.Lock(); defer s.mu.Unlock(); return s.gone }

func (s *scripted) units() float64 { s.mu.Lock(); defer s.mu.Unlock(); return s.room }

func settings(t testing.TB) *config.Config {
	t.Helper()
	raw, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	base, _, _ := strings.Cut(string(raw), "; The gRPC front")
	c, err := config.Parse("one.sexp", base+fmt.Sprintf(`
(grpc (listen "127.0.0.1:0") (ahead 8)
  (domain edge (secret-sha256 "%x") (unmatched refuse)
    (descriptor (entry kind sign) (customer client) (class sign-submit) (units 2))
    (descriptor (customer client) (class job-status)))
  (domain open (secret-sha256 "%x") (unmatched allow) (descriptor (customer client) (class job-status))))`,
		config.HashSecret("edge-secret"), config.HashSecret("open-secret")))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func start(t testing.TB, change func(*config.GRPC)) (*Server, *scripted) {
	t.Helper()
	cfg := settings(t)
	if change != nil {
		change(cfg.GRPC)
	}
	s := &scripted{room: 20, held: make(chan *core.Call, 20000)}
	srv, err := Start(s, Options{GRPC: *cfg.GRPC, Book: access.New(cfg), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		srv.Stop(ctx)
	})
	return srv, s
}

func dial(t testing.TB, srv *Server, creds credentials.TransportCredentials, opts ...grpc.DialOption) *grpc.ClientConn {
	t.Helper()
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	c, err := grpc.NewClient(srv.Addr().String(), append(opts, grpc.WithTransportCredentials(creds))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func as(name, secret string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), "authorization",
		"Basic "+base64.StdEncoding.EncodeToString([]byte(name+":"+secret)))
}

func acme() context.Context { return as("acme", "acme-secret") }

func words(list ...string) *pb.DoRequest {
	r := &pb.DoRequest{}
	for _, w := range list {
		r.Words = append(r.Words, []byte(w))
	}
	return r
}

func TestDo(t *testing.T) {
	srv, s := start(t, nil)
	c := pb.NewGatewayClient(dial(t, srv, nil))
	if r, err := c.Do(acme(), words("sign.submit", "k1", "img")); err != nil || string(r.GetReply()) != "+did k1\r\n" {
		t.Fatal(r, err)
	}
	for name, x := range map[string]struct {
		ctx  context.Context
		r    *pb.DoRequest
		code codes.Code
	}{
		"no credentials":  {context.Background(), words("JOB.STATUS", "1"), codes.Unauthenticated},
		"wrong secret":    {as("acme", "x"), words("JOB.STATUS", "1"), codes.Unauthenticated},
		"unknown client":  {as("nobody", "acme-secret"), words("JOB.STATUS", "1"), codes.Unauthenticated},
		"unknown command": {acme(), words("NOPE"), codes.InvalidArgument},
		"wrong arity":     {acme(), words("JOB.STATUS"), codes.InvalidArgument},
		"empty":           {acme(), words(), codes.InvalidArgument},
		"refused":         {acme(), words("JOB.STATUS", "refuse"), codes.ResourceExhausted},
		"failed":          {acme(), words("SIGN.SUBMIT", "k", "fail"), codes.Unknown},
		"too large":       {acme(), words("JOB.STATUS", strings.Repeat("x", 2<<20)), codes.ResourceExhausted},
	} {
		before := s.seen()
		_, err := c.Do(x.ctx, x.r)
		if status.Code(err) != x.code {
			t.Errorf("%s: %v, want %v", name, err, x.code)
		}
		if n := s.seen() - before; n > 1 {
			t.Errorf("%s: the core was asked %d times", name, n)
		}
		if name == "refused" {
			info, ok := status.Convert(err).Details()[0].(*errdetails.RetryInfo)
			if !ok || info.GetRetryDelay().AsDuration() != 250*time.Millisecond {
				t.Errorf("details %v", status.Convert(err).Details())
			}
		}
	}
}

// A deadline that has passed asks for nothing; one that passes later, or a cancelled call, is told to the core.
func TestDeadlines(t *testing.T) {
	srv, s := start(t, nil)
	c := pb.NewGatewayClient(dial(t, srv, nil))
	past, cancel := context.WithDeadline(acme(), time.Now().Add(-time.Second))
	defer cancel()
	if _, err := c.Do(past, words("JOB.STATUS", "1")); status.Code(err) != codes.DeadlineExceeded || s.seen() != 0 {
		t.Fatal(err, s.seen())
	}
	// On arrival, past the client's own check: the server is handed a context that is over.
	over, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	if err := srv.run(over, &core.Call{}); status.Code(err) != codes.DeadlineExceeded || s.seen() != 0 {
		t.Fatal(err, s.seen())
	}
	soon, cancel := context.WithTimeout(acme(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.Do(soon, words("JOB.STATUS", "hold")); status.Code(err) != codes.DeadlineExceeded {
		t.Fatal(err)
	}
	if k := <-s.held; k.TimeoutS <= 0 || k.TimeoutS > 0.3 {
		t.Fatalf("the deadline came as %g s", k.TimeoutS)
	}
	wait(t, func() bool { return s.left() == 1 })
	ctx, stop := context.WithCancel(acme())
	done := make(chan error, 1)
	go func() { _, err := c.Do(ctx, words("JOB.STATUS", "hold")); done <- err }()
	k := <-s.held
	stop()
	if err := <-done; status.Code(err) != codes.Canceled {
		t.Fatal(err)
	}
	wait(t, func() bool { return s.left() == 2 })
	give(k, core.Answer{}) // late: it reaches nobody and blocks nobody
}

func wait(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come about in 20 s")
		}
	}
}

func descriptor(pairs ...string) *ratelimitv3.RateLimitDescriptor {
	d := &ratelimitv3.RateLimitDescriptor{}
	for i := 0; i < len(pairs); i += 2 {
		d.Entries = append(d.Entries, &ratelimitv3.RateLimitDescriptor_Entry{Key: pairs[i], Value: pairs[i+1]})
	}
	return d
}

func TestShouldRateLimit(t *testing.T) {
	srv, s := start(t, nil)
	c := rlsv3.NewRateLimitServiceClient(dial(t, srv, nil))
	edge, open := as("edge", "edge-secret"), as("open", "open-secret")
	ask := func(ctx context.Context, domain string, hits uint32, list ...*ratelimitv3.RateLimitDescriptor) (*rlsv3.RateLimitResponse, error) {
		return c.ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: domain, HitsAddend: hits, Descriptors: list})
	}
	r, err := ask(edge, "edge", 5, descriptor("client", "acme"))
	if err != nil || r.GetOverallCode() != rlsv3.RateLimitResponse_OK || s.units() != 15 {
		t.Fatal(r, err, s.units())
	}
	st := r.GetStatuses()[0]
	if st.GetLimitRemaining() != 15 || st.GetCurrentLimit().GetRequestsPerUnit() != 10 || st.GetDurationUntilReset().AsDuration() != 500*time.Millisecond {
		t.Fatal(st)
	}
	if h := r.GetResponseHeadersToAdd(); len(h) != 3 || h[1].GetKey() != "ratelimit-remaining" || h[1].GetValue() != "15" {
		t.Fatal(h)
	}
	if _, err := ask(edge, "edge", 0, descriptor("kind", "sign", "client", "acme")); err != nil || s.units() != 13 {
		t.Fatal("one hit of two units", err, s.units())
	}
	// Over limit by one of several: what the others took is handed back.
	r, err = ask(edge, "edge", 10, descriptor("client", "acme"), descriptor("client", "acme"))
	if err != nil || r.GetOverallCode() != rlsv3.RateLimitResponse_OVER_LIMIT || s.units() != 13 {
		t.Fatal(r, err, s.units())
	}
	if a, b := r.GetStatuses()[0].GetCode(), r.GetStatuses()[1].GetCode(); a != rlsv3.RateLimitResponse_OK || b != rlsv3.RateLimitResponse_OVER_LIMIT {
		t.Fatal(a, b)
	}
	for domain, want := range map[string]rlsv3.RateLimitResponse_Code{"edge": rlsv3.RateLimitResponse_OVER_LIMIT, "open": rlsv3.RateLimitResponse_OK} {
		ctx := map[string]context.Context{"edge": edge, "open": open}[domain]
		for _, d := range []*ratelimitv3.RateLimitDescriptor{descriptor("path", "/"), descriptor("client", "nobody")} {
			if r, err := ask(ctx, domain, 1, d); err != nil || r.GetOverallCode() != want {
				t.Errorf("unmatched in %s: %v %v", domain, r, err)
			}
		}
	}
	if _, err := ask(open, "edge", 1, descriptor("client", "acme")); status.Code(err) != codes.Unauthenticated {
		t.Error("another domain's secret:", err)
	}
	if _, err := ask(acme(), "edge", 1, descriptor("client", "acme")); status.Code(err) != codes.Unauthenticated {
		t.Error("a client's secret:", err)
	}
	if _, err := ask(edge, "edge", 61, descriptor("client", "acme")); status.Code(err) != codes.InvalidArgument {
		t.Error("too many hits:", err)
	}
	if _, err := ask(edge, "edge", 1); status.Code(err) != codes.InvalidArgument {
		t.Error("no descriptors:", err)
	}
	if s.units() != 13 {
		t.Error("units", s.units())
	}
}

// Answers of a stream come in any order, each with its request's id; what makes no sense is told so.
func TestStream(t *testing.T) {
	srv, s := start(t, nil)
	st, err := pb.NewGatewayClient(dial(t, srv, nil)).Stream(acme())
	if err != nil {
		t.Fatal(err)
	}
	send := func(id uint64, r *pb.DoRequest) {
		if err := st.Send(&pb.StreamRequest{Id: id, Request: r, WithinMs: 500}); err != nil {
			t.Fatal(err)
		}
	}
	recv := func() *pb.StreamResponse {
		r, err := st.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	send(1, words("JOB.STATUS", "hold"))
	held := <-s.held
	if held.TimeoutS != 0.5 {
		t.Errorf("within %g s", held.TimeoutS)
	}
	send(2, words("SIGN.SUBMIT", "k2", "x"))
	if r := recv(); r.GetId() != 2 || string(r.GetResponse().GetReply()) != "+did k2\r\n" {
		t.Fatal(r)
	}
	send(3, words("JOB.STATUS", "refuse"))
	if r := recv(); r.GetId() != 3 || r.GetRefused().GetRetryMs() != 250 {
		t.Fatal(r)
	}
	send(4, words("JOB.STATUS", "fail"))
	if r := recv(); r.GetId() != 4 || r.GetFailed().GetWhy() == "" {
		t.Fatal(r)
	}
	send(5, words("NOPE"))
	if r := recv(); r.GetId() != 5 || !strings.Contains(r.GetInvalid(), "unknown command") {
		t.Fatal(r)
	}
	give(held, core.Answer{Payload: []byte("+late\r\n")})
	if r := recv(); r.GetId() != 1 || string(r.GetResponse().GetReply()) != "+late\r\n" {
		t.Fatal(r)
	}
	if err := st.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if _, err := st.Recv(); err != io.EOF {
		t.Fatal(err)
	}
}

// A client that sends and never reads is no longer read once its places are taken, and others go on.
func TestClientThatNeverReads(t *testing.T) {
	srv, s := start(t, nil)
	conn := dial(t, srv, nil, grpc.WithInitialWindowSize(64<<10))
	ctx, cancel := context.WithCancel(acme())
	defer cancel()
	st, err := pb.NewGatewayClient(conn).Stream(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		if err := st.Send(&pb.StreamRequest{Id: uint64(i), Request: words("JOB.STATUS", "hold")}); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, func() bool { return s.seen() == 8 })
	if _, err := pb.NewGatewayClient(dial(t, srv, nil)).Do(acme(), words("JOB.STATUS", "1")); err != nil {
		t.Fatal(err)
	}
	if n := s.seen(); n != 9 {
		t.Fatalf("%d requests came to the core, want the 8 of the stream and one", n)
	}
	cancel()
	wait(t, func() bool { return s.left() == 8 })
}

// 10,000 calls at once on one connection, ten times what it may have open: all are answered, none twice.
func TestManyStreams(t *testing.T) {
	srv, s := start(t, nil)
	c := pb.NewGatewayClient(dial(t, srv, nil))
	var work sync.WaitGroup
	for i := range 10_000 {
		work.Add(1)
		go func() {
			defer work.Done()
			k := fmt.Sprint("k", i)
			if r, err := c.Do(acme(), words("SIGN.SUBMIT", k, "x")); err != nil || string(r.GetReply()) != "+did "+k+"\r\n" {
				t.Errorf("%s: %v %v", k, r, err)
			}
		}()
	}
	work.Wait()
	if s.seen() != 10_000 {
		t.Errorf("the core was asked %d times", s.seen())
	}
}

// A stop sends GOAWAY: calls and streams under way get their answers, and nothing runs twice, though the
// client would repeat by itself what was never taken.
func TestDrain(t *testing.T) {
	srv, s := start(t, nil)
	conn := dial(t, srv, nil)
	c := pb.NewGatewayClient(conn)
	type end struct {
		r   *pb.DoResponse
		err error
	}
	done := make(chan end, 1)
	go func() { r, err := c.Do(acme(), words("JOB.STATUS", "hold")); done <- end{r, err} }()
	call := <-s.held
	st, err := c.Stream(acme())
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Send(&pb.StreamRequest{Id: 7, Request: words("JOB.STATUS", "hold")}); err != nil {
		t.Fatal(err)
	}
	streamed := <-s.held
	health := healthv1.NewHealthClient(conn)
	if r, err := health.Check(context.Background(), &healthv1.HealthCheckRequest{}); err != nil || r.GetStatus() != healthv1.HealthCheckResponse_SERVING {
		t.Fatal(r, err)
	}
	srv.Drain()
	if r, err := health.Check(context.Background(), &healthv1.HealthCheckRequest{}); err != nil || r.GetStatus() != healthv1.HealthCheckResponse_NOT_SERVING {
		t.Fatal(r, err)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); srv.Stop(context.Background()) }()
	give(call, core.Answer{Payload: []byte("+one\r\n")})
	give(streamed, core.Answer{Payload: []byte("+two\r\n")})
	if e := <-done; e.err != nil || string(e.r.GetReply()) != "+one\r\n" {
		t.Fatal(e)
	}
	if r, err := st.Recv(); err != nil || r.GetId() != 7 || string(r.GetResponse().GetReply()) != "+two\r\n" {
		t.Fatal(r, err)
	}
	if _, err := st.Recv(); status.Code(err) != codes.Unavailable {
		t.Fatal(err)
	}
	<-stopped
	if _, err := c.Do(acme(), words("JOB.STATUS", "1")); status.Code(err) != codes.Unavailable {
		t.Fatal(err)
	}
	if s.seen() != 2 {
		t.Errorf("the core was asked %d times, want 2", s.seen())
	}
}

// A connection that breaks under a call: the call ends in an error and is not sent again by the library.
func TestBrokenConnectionRepeatsNothing(t *testing.T) {
	srv, s := start(t, nil)
	c := pb.NewGatewayClient(dial(t, srv, nil))
	done := make(chan error, 1)
	go func() { _, err := c.Do(acme(), words("SIGN.SUBMIT", "k", "hold")); done <- err }()
	<-s.held
	srv.server.Stop() // as a kill looks to the client
	if err := <-done; status.Code(err) != codes.Unavailable {
		t.Fatal(err)
	}
	if s.seen() != 1 {
		t.Fatalf("the core was asked %d times", s.seen())
	}
}

// A connection too many is closed; those that stand go on, and a place given back is taken again.
func TestConnectionsAreBounded(t *testing.T) {
	srv, _ := start(t, func(g *config.GRPC) { g.MaxConnections = 1 })
	first, second := dial(t, srv, nil), dial(t, srv, nil)
	ask := func(c *grpc.ClientConn) error {
		_, err := pb.NewGatewayClient(c).Do(acme(), words("JOB.STATUS", "1"))
		return err
	}
	if err := ask(first); err != nil {
		t.Fatal(err)
	}
	if err := ask(second); status.Code(err) != codes.Unavailable || srv.Counts().RejectedConnections == 0 {
		t.Fatal(err, srv.Counts().RejectedConnections)
	}
	if err := ask(first); err != nil {
		t.Fatal(err)
	}
	first.Close()
	wait(t, func() bool { return ask(second) == nil })
}

// authority makes certificates for a test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func (a *authority) issue(name string, server bool) (certFile, keyFile string) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"localhost"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}, KeyUsage: x509.KeyUsageDigitalSignature}
	parent, signer := a.cert, a.key
	if parent == nil {
		tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	if a.cert == nil {
		a.key = key
		if a.cert, err = x509.ParseCertificate(der); err != nil {
			a.t.Fatal(err)
		}
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	write := func(kind, file string, b []byte) string {
		path := filepath.Join(a.dir, name+file)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			a.t.Fatal(err)
		}
		return path
	}
	return write("CERTIFICATE", ".pem", der), write("EC PRIVATE KEY", ".key", raw)
}

func TestTLS(t *testing.T) {
	a := &authority{t: t, dir: t.TempDir()}
	ca, _ := a.issue("authority", false)
	cert, key := a.issue("server", true)
	srv, _ := start(t, func(g *config.GRPC) { g.CertificateFile, g.KeyFile, g.ClientCAFile = cert, key, ca })
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	ask := func(ctx context.Context, change func(*tls.Config)) error {
		tc := &tls.Config{RootCAs: pool, ServerName: "localhost"}
		change(tc)
		_, err := pb.NewGatewayClient(dial(t, srv, credentials.NewTLS(tc))).Do(ctx, words("JOB.STATUS", "1"))
		return err
	}
	with := func(name string) func(*tls.Config) {
		c, k := a.issue(name, false)
		pair, err := tls.LoadX509KeyPair(c, k)
		if err != nil {
			t.Fatal(err)
		}
		return func(tc *tls.Config) { tc.Certificates = []tls.Certificate{pair} }
	}
	if err := ask(context.Background(), with("acme")); err != nil {
		t.Error("a client's certificate:", err)
	}
	if err := ask(acme(), with("nobody")); status.Code(err) != codes.Unauthenticated {
		t.Error("a certificate of no client is not made up for by a secret:", err)
	}
	if err := ask(acme(), func(*tls.Config) {}); err != nil {
		t.Error("a secret over TLS:", err)
	}
	if err := ask(acme(), func(tc *tls.Config) { tc.MaxVersion = tls.VersionTLS12 }); status.Code(err) != codes.Unavailable {
		t.Error("TLS 1.2:", err)
	}
	other := &authority{t: t, dir: t.TempDir()}
	other.issue("authority", false)
	c, k := other.issue("acme", false)
	pair, err := tls.LoadX509KeyPair(c, k)
	if err != nil {
		t.Fatal(err)
	}
	// Sent whatever authorities the server names, as a forger would.
	forge := func(tc *tls.Config) {
		tc.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	if err := ask(context.Background(), forge); err == nil {
		t.Error("a certificate of another authority was taken")
	}
	if _, err := Start(nil, Options{GRPC: config.GRPC{CertificateFile: "none", KeyFile: "none"}}); err == nil {
		t.Error("files that are not there")
	}
}
