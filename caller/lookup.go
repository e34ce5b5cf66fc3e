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

	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
	"github.com/jacinthrack/jacinthrack/lookup"
)

// maxLookupAnswerBytes bounds a look-up answer, which is normally about 1 KB.
const maxLookupAnswerBytes = 64 << 10 // 64 KiB

// refreshAfterPercent is the percentage of the max-age after which the look-up answer
// is refreshed in the background. The remaining time covers time-outs at a few instances
// that do not respond.
const refreshAfterPercent = 75

// cachedLookup is a look-up answer with its expiry and the instances in it that have
// since been found unavailable.
type cachedLookup struct {
	answer lookup.Answer
	// expiresAt is the time at which the look-up was sent plus the max-age. It does
	// not count from the arrival of the answer, which may already be old by then.
	expiresAt time.Time
	// refreshAt is the time from which a request starts a look-up in the background,
	// so that requests need not wait for one.
	refreshAt time.Time
	// avoided holds the names of instances that could not be connected to, are
	// draining or are not ready. They are used last until the next look-up.
	avoided map[string]bool
}

// cacheState says whether the cached look-up answer may be used.
type cacheState int

const (
	cacheFresh      cacheState = iota
	cacheRefreshDue            // usable, but a look-up must be started in the background
	cacheExpired               // must not be used
)

func (d *cachedLookup) state(now time.Time) cacheState {
	switch {
	case !now.Before(d.expiresAt):
		return cacheExpired
	case !now.Before(d.refreshAt):
		return cacheRefreshDue
	default:
		return cacheFresh
	}
}

// Instances returns the entry instances to use, best first, from the cached look-up
// answer or from a new look-up. Its errors are *LookupError and the error of ctx.
func (c *Client) Instances(ctx context.Context) ([]lookup.Instance, error) {
	instances, state := c.cachedInstances()
	if state == cacheFresh {
		return instances, nil
	}
	// All requests that wait share one look-up, so it must not be cancelled with the
	// context of one of them. The look-up at each address has a timeout of its own.
	shared := context.WithoutCancel(ctx)
	done := c.lookupGroup.DoChan("lookup", func() (any, error) { return nil, c.refreshCache(shared) })
	if state == cacheRefreshDue {
		return instances, nil
	}
	select {
	case result := <-done:
		if result.Err != nil {
			return nil, result.Err
		}
		return c.latestInstances(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// cachedInstances returns the instances of the cached look-up answer and whether it
// may be used.
func (c *Client) cachedInstances() ([]lookup.Instance, cacheState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.answer.Instances, c.cache.state(time.Now())
}

// latestInstances returns the instances of a look-up that has just ended. They may be
// used even if the max-age of the answer is zero.
func (c *Client) latestInstances() []lookup.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.answer.Instances
}

// refreshCache sends a look-up to one address after the other and caches the first
// usable answer.
func (c *Client) refreshCache(ctx context.Context) error {
	if _, state := c.cachedInstances(); state == cacheFresh {
		return nil
	}
	var causes []error
	for _, address := range c.lookupAddresses() {
		found, err := c.lookUpAt(ctx, address)
		if err != nil {
			causes = append(causes, err)
			continue
		}
		c.mu.Lock()
		c.cache = found
		c.mu.Unlock()
		return nil
	}
	return &LookupError{Causes: causes}
}

// lookupAddresses returns the addresses to which a look-up is sent, in order: the
// instances of the last answer, the seeds, and then the avoided instances. Requests are
// not sent to the instances of an expired answer, but look-ups are, since these
// instances may still be able to return the current one.
func (c *Client) lookupAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses, avoided []string
	for _, instance := range c.cache.answer.Instances {
		if c.cache.avoided[instance.Name] {
			avoided = append(avoided, instance.Address)
			continue
		}
		addresses = append(addresses, instance.Address)
	}
	for _, seed := range c.options.Seeds {
		addresses = append(addresses, seed.String())
	}
	return distinct(append(addresses, avoided...))
}

// distinct removes duplicates and keeps the order.
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

// lookUpAt looks up the entry instances at one address.
func (c *Client) lookUpAt(ctx context.Context, address string) (cachedLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.LookupTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := c.sendLookup(ctx, address)
	if err != nil {
		return cachedLookup{}, &TransportError{Instance: address, Err: err}
	}
	defer resp.Body.Close()
	if err := responsecheck.CheckDelimited(resp); err != nil {
		return cachedLookup{}, &TransportError{Instance: address, MaybeSent: true, Err: err}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupAnswerBytes))
	if err != nil {
		return cachedLookup{}, &TransportError{Instance: address, MaybeSent: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return cachedLookup{}, &InvalidLookupAnswerError{Address: address, Reason: fmt.Sprintf("status %d: %.200s", resp.StatusCode, body)}
	}
	answer, err := parseLookupAnswer(address, body)
	if err != nil {
		return cachedLookup{}, err
	}
	ttl := maxAge(resp.Header)
	return cachedLookup{
		answer:    answer,
		expiresAt: sent.Add(ttl),
		refreshAt: sent.Add(ttl * refreshAfterPercent / 100),
		avoided:   make(map[string]bool),
	}, nil
}

// sendLookup sends a look-up. It carries no API key, since look-ups need none.
func (c *Client) sendLookup(ctx context.Context, address string) (*http.Response, error) {
	query := url.Values{lookup.ParamClient: {c.options.Client.String()}}
	if c.options.Zone != "" {
		query.Set(lookup.ParamZone, c.options.Zone)
	}
	target := "http://" + address + lookup.EndpointPath + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	return c.options.Transport.RoundTrip(r)
}

// parseLookupAnswer decodes a look-up answer and drops the instances whose address is
// not an IP:port. It returns an error if none is left.
func parseLookupAnswer(address string, body []byte) (lookup.Answer, error) {
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
		return answer, &InvalidLookupAnswerError{Address: address, Reason: "no entry instance in it has an IP:port address"}
	}
	answer.Instances = usable
	return answer, nil
}

// maxAge returns the max-age in the Cache-Control header, zero if there is none or it
// is invalid.
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

// avoidInstance makes requests use the named instance last until the next look-up.
func (c *Client) avoidInstance(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.avoided[name] = true
}

func (c *Client) isAvoided(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.avoided[name]
}
