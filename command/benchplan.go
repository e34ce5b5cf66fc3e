package command

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/bench"
	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/operatorapi"
)

// Shares of the declared mix, relative to each other.
const (
	checkWeight  = 90.0
	orderWeight  = 8.0
	uploadWeight = 2.0
)

// Sizes of the declared mix.
const (
	orderBytes  = 512
	uploadBytes = 256 << 10
	uploadTime  = 2 * time.Second
	// lookupsPerSecond is far above what callers that cache answers send.
	lookupsPerSecond = 200
)

// benchOptions shape a plan.
type benchOptions struct {
	duration time.Duration
	load     float64 // of each customer, as a multiple of its rate
	surge    float64 // of the first customer, as a multiple of its rate; 0 for none
	seed     uint64
}

// newPlan grants a key to each customer and returns a plan with the declared mix.
func newPlan(ctx context.Context, client *operatorapi.Client, doc *config.Document, entries []netip.AddrPort, o benchOptions) (bench.Plan, error) {
	plan := bench.Plan{
		Name:         "declared mix",
		EntryInstances:        entries,
		Duration:     config.Duration(o.duration),
		Warmup:       config.Duration(o.duration / 5),
		Seed:         o.seed,
		Mix:          mixOf(doc),
		Lookups:      bench.LookupLoad{RatePerSecond: lookupsPerSecond},
		CheckResponses: true,
		BackendServers:     doc.BackendServers,
		Overhead:     overheadOf(doc),
	}
	for i, customer := range doc.Customers {
		granted, err := client.Grant(ctx, operatorapi.GrantRequest{Customer: customer.Name})
		if err != nil {
			return plan, err
		}
		plan.Customers = append(plan.Customers, bench.Customer{
			Name:          customer.Name,
			Key:           granted.Key,
			RatePerSecond: customer.RatePerSecond,
			Burst:         customer.Burst,
			LoadFactor:          o.load,
			Surge:         surgeOf(i, o),
			Client:        clientOf(doc, i),
		})
	}
	return plan, nil
}

// overheadSamples is the number of pairs of direct and forwarded requests.
const overheadSamples = 200

// overheadOf compares forwarded with direct requests of the first plain look-up.
func overheadOf(doc *config.Document) *bench.OverheadPlan {
	for _, kind := range mixOf(doc) {
		if kind.Method != http.MethodGet {
			continue
		}
		for _, server := range doc.BackendServers {
			if route := routeOf(doc, kind.Route); route.Service == server.Service {
				return &bench.OverheadPlan{
					Pairs:    overheadSamples,
					Route:      kind.Route,
					Path:       kind.Path,
					DirectAddress:     server.Address,
					DirectPath: kind.Path,
					Customer:   doc.Customers[0].Name,
					Pause:      config.Duration(10 * time.Millisecond),
				}
			}
		}
	}
	return nil
}

func routeOf(doc *config.Document, name string) config.Route {
	for _, route := range doc.Routes {
		if route.Name == name {
			return route
		}
	}
	return config.Route{}
}

// surgeOf lets the first customer send several times its rate in the middle third
// of each period.
func surgeOf(customer int, o benchOptions) *bench.Surge {
	if customer > 0 || o.surge <= 0 {
		return nil
	}
	return &bench.Surge{Period: config.Duration(o.duration / 2), Duration: config.Duration(o.duration / 6), LoadFactor: o.surge}
}

// clientOf spreads the customers over the client blocks.
func clientOf(doc *config.Document, customer int) netip.Addr {
	if len(doc.ClientBlocks) == 0 {
		return netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	block := doc.ClientBlocks[customer*len(doc.ClientBlocks)/len(doc.Customers)]
	return block.Prefix.Addr().Next()
}

// mixOf returns a kind of request for each keyed route of a document.
func mixOf(doc *config.Document) []bench.RequestKind {
	var kinds []bench.RequestKind
	counts := make(map[float64]int)
	for _, route := range doc.Routes {
		if route.Access != config.AccessKeyed {
			continue
		}
		kind := kindOf(route)
		counts[kind.Weight]++
		kinds = append(kinds, kind)
	}
	for i := range kinds {
		kinds[i].Weight /= float64(counts[kinds[i].Weight])
	}
	return kinds
}

func kindOf(route config.Route) bench.RequestKind {
	kind := bench.RequestKind{Name: route.Name, Route: route.Name, Path: "/bench", Idempotent: route.Idempotent}
	switch {
	case !route.Idempotent:
		kind.Method, kind.Weight, kind.BodyBytes = http.MethodPost, orderWeight, orderBytes
	case slices.Contains(route.Methods, http.MethodGet):
		kind.Method, kind.Weight = http.MethodGet, checkWeight
	default:
		kind.Method, kind.Weight = http.MethodPut, uploadWeight
		kind.BodyBytes, kind.UploadTime = uploadBytes, config.Duration(uploadTime)
	}
	return kind
}
