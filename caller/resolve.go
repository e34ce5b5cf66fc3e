package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/lookup"
)

// maxLookupBytes bounds a look-up answer, which is about 1 KB.
const maxLookupBytes = 64 << 10

// refreshPart is the part of max-age, in percent, after which a look-up is made in
// the background. The rest leaves time for a few instances that do not answer.
const refreshPart = 75

// directory is a look-up answer and what was learned about its instances since.
type directory struct {
	answer lookup.Answer
	// expires is max-age after the look-up was sent, not after its answer came:
	// the answer may have been old on arrival.
	expires time.Time
	// refresh is when the next look-up is made in the background, so that
	// requests need not wait for it.
	refresh time.Time
	// avoid holds instances that refused connections or drain. They come last
	// until the next look-up.
	avoid map[string]bool
}

// cacheState says what a cached answer is good for.
type cacheState int

const (
	cacheFresh cacheState = iota
	cacheDue              // usable, but a new look-up is due
	cacheExpired
)

func (d *directory) state(now time.Time) cacheState {
	switch {
	case !now.Before(d.expires):
		return cacheExpired
	case !now.Before(d.refresh):
		return cacheDue
	default:
		return cacheFresh
	}
}

// Instances returns the entry instances to use, best first, from the cache or
// from a look-up. It returns *LookupError or the error of ctx.
func (c *Client) Instances(ctx context.Context) ([]lookup.Instance, error) {
	instances, state := c.cached()
	if state == cacheFresh {
		return instances, nil
	}
	// The look-up is shared by all requests that wait for it, so it must not
	// end with the context of one of them. Each of its steps has a timeout.
	shared := context.WithoutCancel(ctx)
	done := c.lookups.DoChan("lookup", func() (any, error) { return nil, c.refresh(shared) })
	if state == cacheDue {
		return instances, nil
	}
	select {
	case result := <-done:
		if result.Err != nil {
			return nil, result.Err
		}
		return c.latest(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) cached() ([]lookup.Instance, cacheState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.answer.Instances, c.known.state(time.Now())
}

// latest returns the answer of a look-up that ended just now, which counts even
// if its max-age is zero.
func (c *Client) latest() []lookup.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.answer.Instances
}

func (c *Client) refresh(ctx context.Context) error {
	if _, state := c.cached(); state == cacheFresh {
		return nil
	}
	var causes []error
	for _, address := range c.sources() {
		found, err := c.lookUp(ctx, address)
		if err != nil {
			causes = append(causes, err)
			continue
		}
		c.mu.Lock()
		c.known = found
		c.mu.Unlock()
		return nil
	}
	return &LookupError{Causes: causes}
}

// sources returns the addresses to look up at: the instances of the last answer,
// those to avoid last, and then the seeds. An expired answer steers no request,
// but its instances may still know the current one.
func (c *Client) sources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses, later []string
	for _, instance := range c.known.answer.Instances {
		if c.known.avoid[instance.Name] {
			later = append(later, instance.Address)
			continue
		}
		addresses = append(addresses, instance.Address)
	}
	for _, seed := range c.options.Seeds {
		addresses = append(addresses, seed.String())
	}
	return distinct(append(addresses, later...))
}

func distinct(addresses []string) []string {
	seen := make(map[string]bool, len(addresses))
	var out []string
	for _, a := range addresses {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}

func (c *Client) lookUp(ctx context.Context, address string) (directory, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.LookupTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := c.getLookup(ctx, address)
	if err != nil {
		return directory{}, &TransportError{Instance: address, Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return directory{}, &TransportError{Instance: address, MaybeSent: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return directory{}, &InvalidLookupAnswerError{Address: address, Reason: fmt.Sprintf("status %d: %.200s", resp.StatusCode, body)}
	}
	answer, err := parseAnswer(address, body)
	if err != nil {
		return directory{}, err
	}
	age := maxAge(resp.Header)
	return directory{
		answer:  answer,
		expires: sent.Add(age),
		refresh: sent.Add(age * refreshPart / 100),
		avoid:   make(map[string]bool),
	}, nil
}

// getLookup sends a look-up. It carries no key: look-ups are open to all.
func (c *Client) getLookup(ctx context.Context, address string) (*http.Response, error) {
	query := url.Values{lookup.QueryClient: {c.options.Client.String()}}
	if c.options.Zone != "" {
		query.Set(lookup.QueryZone, c.options.Zone)
	}
	target := "http://" + address + lookup.Path + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	return c.options.Transport.RoundTrip(r)
}

// parseAnswer decodes an answer and drops instances whose address is not an
// IP:port.
func parseAnswer(address string, body []byte) (lookup.Answer, error) {
	var answer lookup.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &InvalidLookupAnswerError{Address: address, Reason: err.Error()}
	}
	var usable []lookup.Instance
	for _, instance := range answer.Instances {
		if _, err := netip.ParseAddrPort(instance.Address); err == nil {
			usable = append(usable, instance)
		}
	}
	if len(usable) == 0 {
		return answer, &InvalidLookupAnswerError{Address: address, Reason: "no usable entry instance in the answer"}
	}
	answer.Instances = usable
	return answer, nil
}

// maxAge returns the max-age of an answer, zero without a valid one.
func maxAge(h http.Header) time.Duration {
	for directive := range strings.SplitSeq(h.Get("Cache-Control"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(directive), "=")
		if !strings.EqualFold(name, "max-age") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// avoid puts an instance at the end of the list until the next look-up.
func (c *Client) avoid(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.avoid[name] = true
}

func (c *Client) avoided(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.avoid[name]
}
