// Package caller is the Go client of a fleet of entry instances. It looks up which
// instances to use, caches the look-up answer for its max-age, and fails over between
// the instances.
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

// Defaults of Options. DefaultResponseHeaderTimeout is the response header timeout of the
// default Options.Transport.
const (
	DefaultMaxAttempts           = 4
	DefaultTimeout               = 30 * time.Second
	DefaultLookupTimeout         = time.Second
	DefaultResponseHeaderTimeout = 10 * time.Second
	DefaultMaxAnswerBytes        = 16 << 20 // 16 MiB
)

// dialTimeout bounds the time spent on connecting to an entry instance that does not
// respond. Connecting to another region takes tens of milliseconds.
const dialTimeout = time.Second

// Options configure a Client.
type Options struct {
	// Seeds are the IP:port addresses of some entry instances. The first look-up is
	// sent to them, in random order; later ones are also sent to the instances in the
	// last look-up answer.
	Seeds []netip.AddrPort
	// Client is the IP address for which look-ups ask for entry instances, normally
	// the caller's own.
	Client netip.Addr
	// Zone is the caller's availability zone. Empty if unknown.
	Zone string
	// Key is the customer's API key. Empty if only routes without a key are used.
	Key string
	// MaxAttempts bounds the number of attempts of a request. Zero means
	// DefaultMaxAttempts.
	MaxAttempts int
	// Timeout bounds a request, over all attempts, whose context has no deadline.
	// Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxWait bounds the wait before another attempt, including one requested by an
	// entry instance with Retry-After. If a longer wait is needed, the request fails.
	// Zero means that only the deadline bounds the wait.
	MaxWait time.Duration
	// LookupTimeout bounds a look-up at one entry instance. Zero means
	// DefaultLookupTimeout.
	LookupTimeout time.Duration
	// MaxAnswerBytes bounds the size of a response body. Zero means
	// DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// Transport sends requests. It must not follow redirects. Nil means a new
	// http.Transport that allows DefaultResponseHeaderTimeout from the end of a request to
	// the header of its response.
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

// maxIdleConnsPerInstance bounds the idle connections to one entry instance. With the
// net/http default of 2, a busy caller would reconnect for most requests.
const maxIdleConnsPerInstance = 64

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout: DefaultResponseHeaderTimeout,
		MaxIdleConnsPerHost:   maxIdleConnsPerInstance,
		IdleConnTimeout:       time.Minute,
		// Response bodies are returned as the instance sent them.
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
	options     Options
	lookupGroup singleflight.Group

	mu    sync.Mutex
	cache cachedLookup
}

// New returns a client, or an *OptionsError if o is invalid. It sends no request.
func New(o Options) (*Client, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	// Spreads the first look-ups of callers that share a list of seeds.
	o.Seeds = slices.Clone(o.Seeds)
	rand.Shuffle(len(o.Seeds), func(i, j int) { o.Seeds[i], o.Seeds[j] = o.Seeds[j], o.Seeds[i] })
	return &Client{options: o}, nil
}

// Close closes the idle connections of the transport.
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
