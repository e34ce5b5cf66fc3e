// Package caller is the Go client of a fleet of entry instances: it looks up
// which instances to use, caches the answer within its max-age, and fails over
// between them.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// Defaults of Options.
const (
	DefaultMaxAttempts    = 4
	DefaultTimeout        = 30 * time.Second
	DefaultLookupTimeout  = time.Second
	DefaultResponseHeaderTimeout  = 10 * time.Second
	DefaultMaxAnswerBytes = 16 << 20
)

// dialTimeout bounds the time that a caller spends on an entry instance that does
// not answer at all. Connections between regions take tens of milliseconds.
const dialTimeout = time.Second

// Options configure a Client.
type Options struct {
	// Seeds are the IP:port addresses of some entry instances. Look-ups start
	// there, in random order; later ones also use the instances of the last answer.
	Seeds []netip.AddrPort
	// Client is the address that is looked up, normally the caller's own.
	Client netip.Addr
	// Zone is the caller's availability zone, if it knows it.
	Zone string
	// Key is the customer's key. Empty for open routes.
	Key string
	// MaxAttempts bounds the attempts of a request. Zero means
	// DefaultMaxAttempts.
	MaxAttempts int
	// Timeout bounds a request whose context has no deadline. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// MaxWait bounds the wait before another attempt, also one that an entry
	// instance asked for. A longer wait ends the request. Zero means that only
	// the deadline bounds it.
	MaxWait time.Duration
	// LookupTimeout bounds the look-up at one instance. Zero means
	// DefaultLookupTimeout.
	LookupTimeout time.Duration
	// MaxAnswerBytes bounds an answer. Zero means DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// Transport sends requests. It must not follow redirects. Nil means a
	// transport of its own, in which an instance has DefaultResponseHeaderTimeout to
	// start its answer to a complete request.
	Transport http.RoundTripper
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.LookupTimeout == 0 {
		o.LookupTimeout = DefaultLookupTimeout
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return o
}

// maxIdlePerInstance bounds idle connections to one entry instance. The default
// of 2 would make a busy caller reconnect for most requests.
const maxIdlePerInstance = 64

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout: DefaultResponseHeaderTimeout,
		MaxIdleConnsPerHost:   maxIdlePerInstance,
		IdleConnTimeout:       time.Minute,
		// Answers are passed on as they are.
		DisableCompression: true,
	}
}

func (o Options) validate() error {
	switch {
	case len(o.Seeds) == 0:
		return &OptionsError{Field: "Seeds", Reason: "is empty"}
	case !o.Client.IsValid():
		return &OptionsError{Field: "Client", Reason: "is not an address"}
	case o.MaxAttempts < 1:
		return &OptionsError{Field: "MaxAttempts", Reason: "is not positive"}
	case o.MaxAnswerBytes < 1:
		return &OptionsError{Field: "MaxAnswerBytes", Reason: "is not positive"}
	default:
		return nil
	}
}

// Client sends requests through entry instances. It is safe for concurrent use.
type Client struct {
	options Options
	lookups singleflight.Group

	mu    sync.Mutex
	known directory
}

// New returns a client. It returns *OptionsError. It sends nothing yet.
func New(o Options) (*Client, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	// Callers that share a list of seeds should not all ask the first.
	o.Seeds = slices.Clone(o.Seeds)
	rand.Shuffle(len(o.Seeds), func(i, j int) { o.Seeds[i], o.Seeds[j] = o.Seeds[j], o.Seeds[i] })
	return &Client{options: o}, nil
}

// Close ends idle connections.
func (c *Client) Close() {
	if t, ok := c.options.Transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// withDeadline applies Options.Timeout if ctx has no deadline.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}
