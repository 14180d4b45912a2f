package endpoints

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Applier applies lists of servers.
type Applier interface {
	// ApplyList returns once the list is in effect.
	ApplyList(list List)
}

// maxAnswerBytes limits the size of an answer.
const maxAnswerBytes = 1 << 20

// maxConnections limits the connections to discovery: for two requests, and for those whose connection is still being opened
// when they are given up. These must not hold up the next ones.
const maxConnections = 8

// Client fetches lists of servers from discovery and passes them to an Applier.
type Client struct {
	applier  Applier
	log      zerolog.Logger
	http     *http.Client
	requests sync.WaitGroup // patient requests

	mu     sync.Mutex // guards the fields below; held while a list is applied, so that lists are applied in order
	poller *Poller
	addr   string // address of discovery
	round  *round // the current round; nil before the first one

	lists, failed atomic.Uint64 // valid lists, and requests that brought none
}

// round is the time between two lists. Its requests all ask for the next one; those in flight are cancelled when it ends.
type round struct {
	ctx     context.Context
	end     context.CancelFunc
	patient bool // a patient request is in flight
}

// NewClient returns a client of the discovery server at an address, host:port. Known is the list that is in effect already,
// the zero List for none.
func NewClient(addr string, known List, applier Applier, log zerolog.Logger) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: seconds(connectTimeoutS)}).DialContext, MaxIdleConnsPerHost: 1,
		MaxConnsPerHost: maxConnections, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Client{applier: applier, log: log, poller: NewPoller(known), http: &http.Client{Transport: transport}, addr: addr}
}

// SetAddress changes the address of discovery. The full list is requested from it at once, also if the address is the same as
// before. The servers known so far stay in effect until then.
func (cl *Client) SetAddress(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.addr = addr
	cl.poller.Reset()
	if cl.round != nil {
		cl.round.end()
	}
	cl.http.CloseIdleConnections()
}

// Counts returns the numbers of valid lists received and of requests that brought none.
func (cl *Client) Counts() (lists, failed uint64) { return cl.lists.Load(), cl.failed.Load() }

// Run follows the list of servers until ctx is done.
func (cl *Client) Run(ctx context.Context) {
	defer cl.http.CloseIdleConnections()
	defer cl.requests.Wait()
	for ctx.Err() == nil {
		cl.pollOnce(ctx)
	}
}

// pollOnce sends one request and applies its answer. If necessary it starts a patient request beside it.
func (cl *Client) pollOnce(ctx context.Context) {
	cl.mu.Lock()
	if cl.round == nil || cl.round.ctx.Err() != nil {
		cl.round = &round{}
		cl.round.ctx, cl.round.end = context.WithCancel(ctx)
	}
	current, addr, next := cl.round, cl.addr, cl.poller.NextRequest()
	if request, needed := cl.poller.PatientRequest(); needed && !current.patient {
		current.patient = true
		cl.requests.Add(1)
		go func() {
			defer cl.requests.Done()
			cl.pollPatiently(current, addr, request)
		}()
	}
	cl.mu.Unlock()
	if next.DelayS > 0 {
		delay := time.NewTimer(seconds(next.DelayS))
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-current.ctx.Done():
			return
		}
	}
	start := time.Now()
	list, err := cl.fetch(current.ctx, addr, next)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case current.ctx.Err() != nil: // another request was answered, or the address has changed
	case err == nil:
		cl.apply(current, list)
	default:
		cl.failed.Add(1)
		cl.poller.HandleFailure(time.Since(start).Seconds())
		if cl.poller.Failures()%failuresPerLog == 1 {
			cl.log.Warn().Err(err).Str("discovery", addr).Int("failures", cl.poller.Failures()).
				Msg("could not fetch the list of servers from discovery; keeping the current list")
		}
	}
}

// failuresPerLog is the number of failed requests in a row of which one is logged.
const failuresPerLog = 40

// pollPatiently sends one patient request and applies its answer.
func (cl *Client) pollPatiently(current *round, addr string, request Request) {
	list, err := cl.fetch(current.ctx, addr, request)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	current.patient = false
	switch {
	case current.ctx.Err() != nil:
	case err == nil:
		cl.apply(current, list)
	default:
		cl.failed.Add(1)
	}
}

// apply applies a list, and ends the round in which it was requested. The caller holds mu.
func (cl *Client) apply(current *round, list List) {
	current.end()
	cl.lists.Add(1)
	if list = cl.poller.HandleList(list); list.Full || len(list.Servers) > 0 {
		cl.applier.ApplyList(list)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The causes with which a request is cancelled.
var (
	errSilence = errors.New("discovery was silent for too long")
	errTimeout = errors.New("discovery did not answer in time")
)

// fetch sends one request and parses its answer.
func (cl *Client) fetch(ctx context.Context, addr string, request Request) (List, error) {
	ctx, stop := context.WithTimeoutCause(ctx, seconds(request.TimeoutS), errTimeout)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(seconds(request.SilenceTimeoutS), func() { cancel(errSilence) })
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+request.Path, nil)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	response, err := cl.http.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	defer response.Body.Close()
	heard := func() { silence.Reset(seconds(request.SilenceTimeoutS)) }
	heard()
	body, err := io.ReadAll(io.LimitReader(&notifyingReader{response.Body, heard}, maxAnswerBytes+1))
	switch {
	case err != nil:
		return List{}, fmt.Errorf("discovery: incomplete answer: %w", err)
	case response.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("discovery: status %d, want 200", response.StatusCode)
	case len(body) > maxAnswerBytes:
		return List{}, fmt.Errorf("discovery: answer is larger than %d bytes", maxAnswerBytes)
	}
	return Parse(body)
}

// notifyingReader calls a function after each read.
type notifyingReader struct {
	io.Reader
	afterRead func()
}

// Read reads from the wrapped reader.
func (reader *notifyingReader) Read(b []byte) (int, error) {
	n, err := reader.Reader.Read(b)
	reader.afterRead()
	return n, err
}
