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

// Weights of the kinds of requests in the declared mix, relative to each other.
const (
	readWeight   = 90.0
	orderWeight  = 8.0
	uploadWeight = 2.0
)

// Sizes and rates of the declared mix.
const (
	orderBytes  = 512       // body of an order
	uploadBytes = 256 << 10 // body of an upload
	uploadTime  = 2 * time.Second
	// lookupsPerSecond is far above the rate of callers, since they cache look-up
	// answers.
	lookupsPerSecond = 200
)

// benchOptions are the options of a plan that flags set.
type benchOptions struct {
	duration    time.Duration
	loadFactor  float64 // of each customer, as a multiple of its rate
	surgeFactor float64 // of the first customer, as a multiple of its rate; 0 for none
	seed        uint64  // of the arrivals
}

// newBenchPlan grants a key to each customer of a document and returns a plan with the
// declared mix.
func newBenchPlan(ctx context.Context, client *operatorapi.Client, doc *config.Document, instances []netip.AddrPort, o benchOptions) (bench.Plan, error) {
	plan := bench.Plan{
		Name:           "declared mix",
		EntryInstances: instances,
		Duration:       config.Duration(o.duration),
		Warmup:         config.Duration(o.duration / 5),
		Seed:           o.seed,
		Mix:            declaredMix(doc),
		Lookups:        bench.LookupLoad{RatePerSecond: lookupsPerSecond},
		CheckResponses: true,
		BackendServers: doc.BackendServers,
		Overhead:       overheadPlan(doc),
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
			LoadFactor:    o.loadFactor,
			Surge:         customerSurge(i, o),
			Client:        customerClient(doc, i),
		})
	}
	return plan, nil
}

// overheadSamples is the number of pairs of direct and forwarded requests in the
// overhead comparison.
const overheadSamples = 200

// overheadPlan compares forwarded with direct GET requests of the first keyed GET route
// whose service has a backend server. It returns nil if there is none.
func overheadPlan(doc *config.Document) *bench.OverheadPlan {
	for _, kind := range declaredMix(doc) {
		if kind.Method != http.MethodGet {
			continue
		}
		for _, server := range doc.BackendServers {
			if route := findRoute(doc, kind.Route); route.Service == server.Service {
				return &bench.OverheadPlan{
					Pairs:         overheadSamples,
					Route:         kind.Route,
					Path:          kind.Path,
					DirectAddress: server.Address,
					DirectPath:    kind.Path,
					Customer:      doc.Customers[0].Name,
					Pause:         config.Duration(10 * time.Millisecond),
				}
			}
		}
	}
	return nil
}

// findRoute returns the route with the given name, or an empty route.
func findRoute(doc *config.Document, name string) config.Route {
	for _, route := range doc.Routes {
		if route.Name == name {
			return route
		}
	}
	return config.Route{}
}

// customerSurge gives the first customer a surge in the first third of each half of the
// run. It returns nil for other customers and if no surge is set.
func customerSurge(customer int, o benchOptions) *bench.Surge {
	if customer > 0 || o.surgeFactor <= 0 {
		return nil
	}
	return &bench.Surge{Period: config.Duration(o.duration / 2), Duration: config.Duration(o.duration / 6), LoadFactor: o.surgeFactor}
}

// customerClient returns the client address of a customer. The customers are spread
// evenly over the client blocks; without blocks all use 127.0.0.1.
func customerClient(doc *config.Document, customer int) netip.Addr {
	if len(doc.ClientBlocks) == 0 {
		return netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	block := doc.ClientBlocks[customer*len(doc.ClientBlocks)/len(doc.Customers)]
	return block.Prefix.Addr().Next()
}

// declaredMix returns one kind of request for each keyed route of a document. Routes with
// the same weight share it equally.
func declaredMix(doc *config.Document) []bench.RequestKind {
	var kinds []bench.RequestKind
	routesByWeight := make(map[float64]int)
	for _, route := range doc.Routes {
		if route.Access != config.AccessKeyed {
			continue
		}
		kind := requestKind(route)
		routesByWeight[kind.Weight]++
		kinds = append(kinds, kind)
	}
	for i := range kinds {
		kinds[i].Weight /= float64(routesByWeight[kinds[i].Weight])
	}
	return kinds
}

// requestKind returns the kind of request that the mix sends to a route: an order if the
// route is not idempotent, a read if it allows GET, and otherwise an upload.
func requestKind(route config.Route) bench.RequestKind {
	kind := bench.RequestKind{Name: route.Name, Route: route.Name, Path: "/bench", Idempotent: route.Idempotent}
	switch {
	case !route.Idempotent:
		kind.Method, kind.Weight, kind.BodyBytes = http.MethodPost, orderWeight, orderBytes
	case slices.Contains(route.Methods, http.MethodGet):
		kind.Method, kind.Weight = http.MethodGet, readWeight
	default:
		kind.Method, kind.Weight = http.MethodPut, uploadWeight
		kind.BodyBytes, kind.UploadTime = uploadBytes, config.Duration(uploadTime)
	}
	return kind
}
