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
type Sink interface {
	// ApplyList returns once the list is in effect.
	List(list List)
}

// maxAnswerBytes limits the size of an answer.
const mostBytes = 1 << 20

// Client fetches lists of servers from discovery and passes them to an Applier.
type Client struct {
	sink  Sink
	log   zerolog.Logger
	http  *http.Client
	watch *Watch

	mu     sync.Mutex
	source string             // address of discovery
	fresh  bool               // the configuration was reloaded: the next request asks for the full list
	moved  context.CancelFunc // cancels the request in flight; nil before the first one

	lists, failed atomic.Uint64 // valid lists, and requests that brought none
}

// NewClient returns a client of the discovery server at an address, host:port. Known is the list that is in effect already,
// the zero List for none.
func NewClient(addr string, known List, applier Sink, log zerolog.Logger) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: seconds(connectS)}).DialContext, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Client{sink: applier, log: log, watch: NewWatch(known), http: &http.Client{Transport: transport}, source: addr}
}

// SetAddress changes the address of discovery. The full list is requested from it at once, also if the address is the same as
// before. The servers known so far stay in effect until then.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source, c.fresh = addr, true
	if c.moved != nil {
		c.moved()
	}
}

// Counts returns the numbers of valid lists received and of requests that brought none.
func (c *Client) Counts() (lists, failed uint64) { return c.lists.Load(), c.failed.Load() }

// Run follows the list of servers until ctx is done.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.once(ctx)
	}
}

// pollOnce sends one request and applies its answer.
func (c *Client) once(ctx context.Context) {
	c.mu.Lock()
	addr := c.source
	requestCtx, cancel := context.WithCancel(ctx)
	c.moved = cancel
	if c.fresh {
		c.fresh = false
		c.watch.Restart()
	}
	c.mu.Unlock()
	defer cancel()
	next := c.watch.Next()
	if next.WaitS > 0 {
		delay := time.NewTimer(seconds(next.WaitS))
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-requestCtx.Done():
			return
		}
	}
	requestCtx, stop := context.WithTimeout(requestCtx, seconds(next.TimeoutS))
	defer stop()
	list, err := c.get(requestCtx, seconds(next.FirstS), "http://"+addr+next.Path)
	switch {
	case err == nil:
		c.lists.Add(1)
		if list = c.watch.Answered(list); list.Whole || len(list.Servers) > 0 {
			c.sink.List(list)
		}
	case ctx.Err() != nil:
	case errors.Is(requestCtx.Err(), context.Canceled): // by SetAddress
		c.http.CloseIdleConnections()
	default:
		c.failed.Add(1)
		if c.watch.Failed(); c.watch.fails%patient != 1 {
			return // only the first of every quickRetries failures in a row is logged
		}
		c.log.Warn().Err(err).Str("discovery", addr).Msg("could not fetch the list of servers from discovery; keeping the current list")
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// errFirstByteTimeout is the cause with which a request is cancelled whose answer has not begun in time.
var errSilent = errors.New("discovery did not begin to answer in time")

// fetch sends one request and parses its answer, which must begin within firstByteTimeout.
func (c *Client) get(ctx context.Context, firstByteTimeout time.Duration, url string) (List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstByteTimer := time.AfterFunc(firstByteTimeout, func() { cancel(errSilent) })
	defer firstByteTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	response, err := c.http.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	firstByteTimer.Stop()
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, mostBytes+1))
	switch {
	case err != nil:
		return List{}, fmt.Errorf("discovery: incomplete answer: %w", err)
	case response.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("discovery: status %d, want 200", response.StatusCode)
	case len(body) > mostBytes:
		return List{}, fmt.Errorf("discovery: answer is larger than %d bytes", mostBytes)
	}
	return Parse(body)
}
