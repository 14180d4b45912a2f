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

// fakeCore is a Core that answers as the payload says and counts units against one quota.
type fakeCore struct {
	mu        sync.Mutex
	calls     []*core.Call
	cancelled int
	remaining float64
	heldCalls chan *core.Call
}

func (fake *fakeCore) Submit(calls []*core.Call) int {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	for _, call := range calls {
		fake.calls = append(fake.calls, call)
		text := string(call.Payload)
		answer := core.Answer{Payload: []byte("+did " + call.Key + "\r\n")}
		switch {
		case strings.Contains(text, "hold"):
			fake.heldCalls <- call
			continue
		case strings.Contains(text, "refuse"):
			answer = core.Answer{Kind: core.Refused, RetryAfterS: 0.25, Detail: "over quota"}
		case strings.Contains(text, "fail"):
			answer = core.Answer{Kind: core.Failed, Detail: "may have run"}
		case call.QuotaOnly && call.Units <= fake.remaining:
			fake.remaining -= call.Units
			answer = core.Answer{Kind: core.Admitted, Quota: core.Quota{Rate: 10, Burst: 20, Remaining: fake.remaining, ResetS: (20 - fake.remaining) / 10}}
		case call.QuotaOnly:
			answer = core.Answer{Kind: core.Refused, Quota: core.Quota{Rate: 10, Burst: 20, Remaining: fake.remaining, RetryAfterS: 0.3, ResetS: 2}}
		}
		answerCall(call, answer)
	}
	return len(calls)
}

// answerCall delivers an answer to the call's front end.
func answerCall(call *core.Call, answer core.Answer) {
	call.Answer = answer
	call.Front.Answered([]*core.Call{call})
}

func (fake *fakeCore) Disconnected(calls []*core.Call) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.cancelled += len(calls)
}

func (fake *fakeCore) ReturnUnits(calls []*core.Call) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	for _, call := range calls {
		fake.remaining += call.Units
	}
}

func (fake *fakeCore) submittedCount() int {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return len(fake.calls)
}

func (fake *fakeCore) cancelledCount() int {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.cancelled
}

func (fake *fakeCore) remainingUnits() float64 {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.remaining
}

func testConfig(t testing.TB) *config.Config {
	t.Helper()
	raw, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	base, _, _ := strings.Cut(string(raw), "; The gRPC front")
	parsed, err := config.Parse("one.sexp", base+fmt.Sprintf(`
(grpc (listen "127.0.0.1:0") (ahead 8)
  (domain edge (secret-sha256 "%x") (unmatched refuse)
    (descriptor (entry kind sign) (customer client) (class sign-submit) (units 2))
    (descriptor (customer client) (class job-status)))
  (domain open (secret-sha256 "%x") (unmatched allow) (descriptor (customer client) (class job-status))))`,
		config.HashSecret("edge-secret"), config.HashSecret("open-secret")))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func startServer(t testing.TB, change func(*config.GRPC)) (*Server, *fakeCore) {
	t.Helper()
	cfg := testConfig(t)
	if change != nil {
		change(cfg.GRPC)
	}
	fake := &fakeCore{remaining: 20, heldCalls: make(chan *core.Call, 20000)}
	srv, err := Start(fake, Options{GRPC: *cfg.GRPC, Book: access.New(cfg), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		srv.Stop(ctx)
	})
	return srv, fake
}

func dial(t testing.TB, srv *Server, creds credentials.TransportCredentials, opts ...grpc.DialOption) *grpc.ClientConn {
	t.Helper()
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(srv.Addr().String(), append(opts, grpc.WithTransportCredentials(creds))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func withCredentials(name, secret string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), "authorization",
		"Basic "+base64.StdEncoding.EncodeToString([]byte(name+":"+secret)))
}

func acmeContext() context.Context { return withCredentials("acme", "acme-secret") }

func doRequest(words ...string) *pb.DoRequest {
	request := &pb.DoRequest{}
	for _, word := range words {
		request.Words = append(request.Words, []byte(word))
	}
	return request
}

func TestDo(t *testing.T) {
	srv, fake := startServer(t, nil)
	client := pb.NewGatewayClient(dial(t, srv, nil))
	if r, err := client.Do(acmeContext(), doRequest("sign.submit", "k1", "img")); err != nil || string(r.GetReply()) != "+did k1\r\n" {
		t.Fatal(r, err)
	}
	for name, test := range map[string]struct {
		ctx     context.Context
		request *pb.DoRequest
		code    codes.Code
	}{
		"no credentials":  {context.Background(), doRequest("JOB.STATUS", "1"), codes.Unauthenticated},
		"wrong secret":    {withCredentials("acme", "x"), doRequest("JOB.STATUS", "1"), codes.Unauthenticated},
		"unknown client":  {withCredentials("nobody", "acme-secret"), doRequest("JOB.STATUS", "1"), codes.Unauthenticated},
		"unknown command": {acmeContext(), doRequest("NOPE"), codes.InvalidArgument},
		"wrong arity":     {acmeContext(), doRequest("JOB.STATUS"), codes.InvalidArgument},
		"empty":           {acmeContext(), doRequest(), codes.InvalidArgument},
		"refused":         {acmeContext(), doRequest("JOB.STATUS", "refuse"), codes.ResourceExhausted},
		"failed":          {acmeContext(), doRequest("SIGN.SUBMIT", "k", "fail"), codes.Unknown},
		"too large":       {acmeContext(), doRequest("JOB.STATUS", strings.Repeat("x", 2<<20)), codes.ResourceExhausted},
	} {
		before := fake.submittedCount()
		_, err := client.Do(test.ctx, test.request)
		if status.Code(err) != test.code {
			t.Errorf("%s: %v, want %v", name, err, test.code)
		}
		if n := fake.submittedCount() - before; n > 1 {
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

// A call whose deadline has passed is not submitted. A deadline that passes later, or a cancelled call, is reported to
// the core.
func TestDeadlines(t *testing.T) {
	srv, fake := startServer(t, nil)
	client := pb.NewGatewayClient(dial(t, srv, nil))
	past, cancel := context.WithDeadline(acmeContext(), time.Now().Add(-time.Second))
	defer cancel()
	if _, err := client.Do(past, doRequest("JOB.STATUS", "1")); status.Code(err) != codes.DeadlineExceeded || fake.submittedCount() != 0 {
		t.Fatal(err, fake.submittedCount())
	}
	// The client library checks the deadline itself, so the server is called directly with an expired context.
	over, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	if err := srv.submitAndWait(over, &core.Call{}); status.Code(err) != codes.DeadlineExceeded || fake.submittedCount() != 0 {
		t.Fatal(err, fake.submittedCount())
	}
	soon, cancel := context.WithTimeout(acmeContext(), 300*time.Millisecond)
	defer cancel()
	if _, err := client.Do(soon, doRequest("JOB.STATUS", "hold")); status.Code(err) != codes.DeadlineExceeded {
		t.Fatal(err)
	}
	if heldCall := <-fake.heldCalls; heldCall.TimeoutS <= 0 || heldCall.TimeoutS > 0.3 {
		t.Fatalf("the deadline came as %g s", heldCall.TimeoutS)
	}
	waitUntil(t, func() bool { return fake.cancelledCount() == 1 })
	ctx, stop := context.WithCancel(acmeContext())
	done := make(chan error, 1)
	go func() { _, err := client.Do(ctx, doRequest("JOB.STATUS", "hold")); done <- err }()
	heldCall := <-fake.heldCalls
	stop()
	if err := <-done; status.Code(err) != codes.Canceled {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return fake.cancelledCount() == 2 })
	answerCall(heldCall, core.Answer{}) // a late answer is dropped and must not block
}

// waitUntil polls until done returns true and fails the test after 20 s.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 20 s")
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
	srv, fake := startServer(t, nil)
	client := rlsv3.NewRateLimitServiceClient(dial(t, srv, nil))
	edge, open := withCredentials("edge", "edge-secret"), withCredentials("open", "open-secret")
	ask := func(ctx context.Context, domain string, hits uint32, list ...*ratelimitv3.RateLimitDescriptor) (*rlsv3.RateLimitResponse, error) {
		return client.ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: domain, HitsAddend: hits, Descriptors: list})
	}
	r, err := ask(edge, "edge", 5, descriptor("client", "acme"))
	if err != nil || r.GetOverallCode() != rlsv3.RateLimitResponse_OK || fake.remainingUnits() != 15 {
		t.Fatal(r, err, fake.remainingUnits())
	}
	descriptorStatus := r.GetStatuses()[0]
	if descriptorStatus.GetLimitRemaining() != 15 || descriptorStatus.GetCurrentLimit().GetRequestsPerUnit() != 10 || descriptorStatus.GetDurationUntilReset().AsDuration() != 500*time.Millisecond {
		t.Fatal(descriptorStatus)
	}
	if h := r.GetResponseHeadersToAdd(); len(h) != 3 || h[1].GetKey() != "ratelimit-remaining" || h[1].GetValue() != "15" {
		t.Fatal(h)
	}
	if _, err := ask(edge, "edge", 0, descriptor("kind", "sign", "client", "acme")); err != nil || fake.remainingUnits() != 13 {
		t.Fatal("one hit of two units", err, fake.remainingUnits())
	}
	// One of several descriptors is over limit: the units taken for the others are returned.
	r, err = ask(edge, "edge", 10, descriptor("client", "acme"), descriptor("client", "acme"))
	if err != nil || r.GetOverallCode() != rlsv3.RateLimitResponse_OVER_LIMIT || fake.remainingUnits() != 13 {
		t.Fatal(r, err, fake.remainingUnits())
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
	if _, err := ask(acmeContext(), "edge", 1, descriptor("client", "acme")); status.Code(err) != codes.Unauthenticated {
		t.Error("a client's secret:", err)
	}
	if _, err := ask(edge, "edge", 61, descriptor("client", "acme")); status.Code(err) != codes.InvalidArgument {
		t.Error("too many hits:", err)
	}
	if _, err := ask(edge, "edge", 1); status.Code(err) != codes.InvalidArgument {
		t.Error("no descriptors:", err)
	}
	if fake.remainingUnits() != 13 {
		t.Error("units", fake.remainingUnits())
	}
}

// Answers on a stream may come in any order, each with the id of its request; an invalid request is answered as such.
func TestStream(t *testing.T) {
	srv, fake := startServer(t, nil)
	stream, err := pb.NewGatewayClient(dial(t, srv, nil)).Stream(acmeContext())
	if err != nil {
		t.Fatal(err)
	}
	send := func(id uint64, r *pb.DoRequest) {
		if err := stream.Send(&pb.StreamRequest{Id: id, Request: r, WithinMs: 500}); err != nil {
			t.Fatal(err)
		}
	}
	recv := func() *pb.StreamResponse {
		r, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	send(1, doRequest("JOB.STATUS", "hold"))
	held := <-fake.heldCalls
	if held.TimeoutS != 0.5 {
		t.Errorf("within %g s", held.TimeoutS)
	}
	send(2, doRequest("SIGN.SUBMIT", "k2", "x"))
	if r := recv(); r.GetId() != 2 || string(r.GetResponse().GetReply()) != "+did k2\r\n" {
		t.Fatal(r)
	}
	send(3, doRequest("JOB.STATUS", "refuse"))
	if r := recv(); r.GetId() != 3 || r.GetRefused().GetRetryMs() != 250 {
		t.Fatal(r)
	}
	send(4, doRequest("JOB.STATUS", "fail"))
	if r := recv(); r.GetId() != 4 || r.GetFailed().GetWhy() == "" {
		t.Fatal(r)
	}
	send(5, doRequest("NOPE"))
	if r := recv(); r.GetId() != 5 || !strings.Contains(r.GetInvalid(), "unknown command") {
		t.Fatal(r)
	}
	answerCall(held, core.Answer{Payload: []byte("+late\r\n")})
	if r := recv(); r.GetId() != 1 || string(r.GetResponse().GetReply()) != "+late\r\n" {
		t.Fatal(r)
	}
	if err := stream.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Recv(); err != io.EOF {
		t.Fatal(err)
	}
}

// The server stops reading from a client that never reads its answers once its slots are in use; other clients are
// not affected.
func TestClientThatNeverReads(t *testing.T) {
	srv, fake := startServer(t, nil)
	conn := dial(t, srv, nil, grpc.WithInitialWindowSize(64<<10))
	ctx, cancel := context.WithCancel(acmeContext())
	defer cancel()
	stream, err := pb.NewGatewayClient(conn).Stream(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		if err := stream.Send(&pb.StreamRequest{Id: uint64(i), Request: doRequest("JOB.STATUS", "hold")}); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, func() bool { return fake.submittedCount() == 8 })
	if _, err := pb.NewGatewayClient(dial(t, srv, nil)).Do(acmeContext(), doRequest("JOB.STATUS", "1")); err != nil {
		t.Fatal(err)
	}
	if n := fake.submittedCount(); n != 9 {
		t.Fatalf("%d requests came to the core, want the 8 of the stream and one", n)
	}
	cancel()
	waitUntil(t, func() bool { return fake.cancelledCount() == 8 })
}

// 10,000 concurrent calls on one connection, ten times its limit of open streams: all are answered, none twice.
func TestManyStreams(t *testing.T) {
	srv, fake := startServer(t, nil)
	client := pb.NewGatewayClient(dial(t, srv, nil))
	var work sync.WaitGroup
	for i := range 10_000 {
		work.Add(1)
		go func() {
			defer work.Done()
			k := fmt.Sprint("k", i)
			if r, err := client.Do(acmeContext(), doRequest("SIGN.SUBMIT", k, "x")); err != nil || string(r.GetReply()) != "+did "+k+"\r\n" {
				t.Errorf("%s: %v %v", k, r, err)
			}
		}()
	}
	work.Wait()
	if fake.submittedCount() != 10_000 {
		t.Errorf("the core was asked %d times", fake.submittedCount())
	}
}

// Stop sends GOAWAY: calls and streams in flight get their answers. Nothing runs twice, although the client library
// retries by itself calls that the server never accepted.
func TestDrain(t *testing.T) {
	srv, fake := startServer(t, nil)
	conn := dial(t, srv, nil)
	client := pb.NewGatewayClient(conn)
	type end struct {
		r   *pb.DoResponse
		err error
	}
	done := make(chan end, 1)
	go func() { r, err := client.Do(acmeContext(), doRequest("JOB.STATUS", "hold")); done <- end{r, err} }()
	call := <-fake.heldCalls
	stream, err := client.Stream(acmeContext())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&pb.StreamRequest{Id: 7, Request: doRequest("JOB.STATUS", "hold")}); err != nil {
		t.Fatal(err)
	}
	streamed := <-fake.heldCalls
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
	answerCall(call, core.Answer{Payload: []byte("+one\r\n")})
	answerCall(streamed, core.Answer{Payload: []byte("+two\r\n")})
	if e := <-done; e.err != nil || string(e.r.GetReply()) != "+one\r\n" {
		t.Fatal(e)
	}
	if r, err := stream.Recv(); err != nil || r.GetId() != 7 || string(r.GetResponse().GetReply()) != "+two\r\n" {
		t.Fatal(r, err)
	}
	if _, err := stream.Recv(); status.Code(err) != codes.Unavailable {
		t.Fatal(err)
	}
	<-stopped
	if _, err := client.Do(acmeContext(), doRequest("JOB.STATUS", "1")); status.Code(err) != codes.Unavailable {
		t.Fatal(err)
	}
	if fake.submittedCount() != 2 {
		t.Errorf("the core was asked %d times, want 2", fake.submittedCount())
	}
}

// A call whose connection breaks ends in an error and is not retried by the client library.
func TestBrokenConnectionRepeatsNothing(t *testing.T) {
	srv, fake := startServer(t, nil)
	client := pb.NewGatewayClient(dial(t, srv, nil))
	done := make(chan error, 1)
	go func() { _, err := client.Do(acmeContext(), doRequest("SIGN.SUBMIT", "k", "hold")); done <- err }()
	<-fake.heldCalls
	srv.grpcServer.Stop() // to the client this looks like a killed process
	if err := <-done; status.Code(err) != codes.Unavailable {
		t.Fatal(err)
	}
	if fake.submittedCount() != 1 {
		t.Fatalf("the core was asked %d times", fake.submittedCount())
	}
}

// A connection beyond the limit is closed, open ones continue, and a closed one makes room for another.
func TestConnectionsAreBounded(t *testing.T) {
	srv, _ := startServer(t, func(settings *config.GRPC) { settings.MaxConnections = 1 })
	first, second := dial(t, srv, nil), dial(t, srv, nil)
	ask := func(conn *grpc.ClientConn) error {
		_, err := pb.NewGatewayClient(conn).Do(acmeContext(), doRequest("JOB.STATUS", "1"))
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
	waitUntil(t, func() bool { return ask(second) == nil })
}

// certificateAuthority issues certificates for a test.
type certificateAuthority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// issue writes a certificate and its key to files. The first one issued is that of the authority itself.
func (ca *certificateAuthority) issue(name string, server bool) (certFile, keyFile string) {
	ca.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		ca.t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"localhost"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}, KeyUsage: x509.KeyUsageDigitalSignature}
	parent, signer := ca.cert, ca.key
	if parent == nil {
		tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		ca.t.Fatal(err)
	}
	if ca.cert == nil {
		ca.key = key
		if ca.cert, err = x509.ParseCertificate(der); err != nil {
			ca.t.Fatal(err)
		}
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	write := func(kind, file string, b []byte) string {
		path := filepath.Join(ca.dir, name+file)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			ca.t.Fatal(err)
		}
		return path
	}
	return write("CERTIFICATE", ".pem", der), write("EC PRIVATE KEY", ".key", raw)
}

func TestTLS(t *testing.T) {
	authority := &certificateAuthority{t: t, dir: t.TempDir()}
	ca, _ := authority.issue("authority", false)
	cert, key := authority.issue("server", true)
	srv, _ := startServer(t, func(settings *config.GRPC) {
		settings.CertificateFile, settings.KeyFile, settings.ClientCAFile = cert, key, ca
	})
	pool := x509.NewCertPool()
	pool.AddCert(authority.cert)
	ask := func(ctx context.Context, change func(*tls.Config)) error {
		tlsConfig := &tls.Config{RootCAs: pool, ServerName: "localhost"}
		change(tlsConfig)
		_, err := pb.NewGatewayClient(dial(t, srv, credentials.NewTLS(tlsConfig))).Do(ctx, doRequest("JOB.STATUS", "1"))
		return err
	}
	with := func(name string) func(*tls.Config) {
		certFile, keyFile := authority.issue(name, false)
		pair, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			t.Fatal(err)
		}
		return func(tlsConfig *tls.Config) { tlsConfig.Certificates = []tls.Certificate{pair} }
	}
	if err := ask(context.Background(), with("acme")); err != nil {
		t.Error("a client's certificate:", err)
	}
	if err := ask(acmeContext(), with("nobody")); status.Code(err) != codes.Unauthenticated {
		t.Error("a certificate of no client is not made up for by a secret:", err)
	}
	if err := ask(acmeContext(), func(*tls.Config) {}); err != nil {
		t.Error("a secret over TLS:", err)
	}
	if err := ask(acmeContext(), func(tlsConfig *tls.Config) { tlsConfig.MaxVersion = tls.VersionTLS12 }); status.Code(err) != codes.Unavailable {
		t.Error("TLS 1.2:", err)
	}
	other := &certificateAuthority{t: t, dir: t.TempDir()}
	other.issue("authority", false)
	certFile, keyFile := other.issue("acme", false)
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	// Sends the certificate regardless of the authorities that the server accepts, as an attacker would.
	forge := func(tlsConfig *tls.Config) {
		tlsConfig.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	if err := ask(context.Background(), forge); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	if _, err := Start(nil, Options{GRPC: config.GRPC{CertificateFile: "none", KeyFile: "none"}}); err == nil {
		t.Error("files that are not there")
	}
}
