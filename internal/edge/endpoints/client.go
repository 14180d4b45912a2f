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

// Client fetches lists of servers from discovery and passes them to an Applier.
type Client struct {
	applier Applier
	log     zerolog.Logger
	http    *http.Client
	poller  *Poller

	mu            sync.Mutex
	addr          string             // address of discovery
	fetchFull     bool               // the configuration was reloaded: the next request asks for the full list
	cancelRequest context.CancelFunc // cancels the request in flight; nil before the first one

	lists, failed atomic.Uint64 // valid lists, and requests that brought none
}

// NewClient returns a client of the discovery server at an address, host:port. Known is the list that is in effect already,
// the zero List for none.
func NewClient(addr string, known List, applier Applier, log zerolog.Logger) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: seconds(connectTimeoutS)}).DialContext, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Client{applier: applier, log: log, poller: NewPoller(known), http: &http.Client{Transport: transport}, addr: addr}
}

// SetAddress changes the address of discovery. The full list is requested from it at once, also if the address is the same as
// before. The servers known so far stay in effect until then.
func (cl *Client) SetAddress(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.addr, cl.fetchFull = addr, true
	if cl.cancelRequest != nil {
		cl.cancelRequest()
	}
}

// Counts returns the numbers of valid lists received and of requests that brought none.
func (cl *Client) Counts() (lists, failed uint64) { return cl.lists.Load(), cl.failed.Load() }

// Run follows the list of servers until ctx is done.
func (cl *Client) Run(ctx context.Context) {
	defer cl.http.CloseIdleConnections()
	for ctx.Err() == nil {
		cl.pollOnce(ctx)
	}
}

// pollOnce sends one request and applies its answer.
func (cl *Client) pollOnce(ctx context.Context) {
	cl.mu.Lock()
	addr := cl.addr
	requestCtx, cancel := context.WithCancel(ctx)
	cl.cancelRequest = cancel
	if cl.fetchFull {
		cl.fetchFull = false
		cl.poller.Reset()
	}
	cl.mu.Unlock()
	defer cancel()
	next := cl.poller.NextRequest()
	if next.DelayS > 0 {
		delay := time.NewTimer(seconds(next.DelayS))
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-requestCtx.Done():
			return
		}
	}
	requestCtx, stop := context.WithTimeout(requestCtx, seconds(next.TimeoutS))
	defer stop()
	list, err := cl.fetch(requestCtx, seconds(next.FirstByteTimeoutS), "http://"+addr+next.Path)
	switch {
	case err == nil:
		cl.lists.Add(1)
		if list = cl.poller.HandleList(list); list.Full || len(list.Servers) > 0 {
			cl.applier.ApplyList(list)
		}
	case ctx.Err() != nil:
	case errors.Is(requestCtx.Err(), context.Canceled): // by SetAddress
		cl.http.CloseIdleConnections()
	default:
		cl.failed.Add(1)
		if cl.poller.HandleFailure(); cl.poller.failures%quickRetries != 1 {
			return // only the first of every quickRetries failures in a row is logged
		}
		cl.log.Warn().Err(err).Str("discovery", addr).Msg("could not fetch the list of servers from discovery; keeping the current list")
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// errFirstByteTimeout is the cause with which a request is cancelled whose answer has not begun in time.
var errFirstByteTimeout = errors.New("discovery did not begin to answer in time")

// fetch sends one request and parses its answer, which must begin within firstByteTimeout.
func (cl *Client) fetch(ctx context.Context, firstByteTimeout time.Duration, url string) (List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstByteTimer := time.AfterFunc(firstByteTimeout, func() { cancel(errFirstByteTimeout) })
	defer firstByteTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	response, err := cl.http.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	firstByteTimer.Stop()
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
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
