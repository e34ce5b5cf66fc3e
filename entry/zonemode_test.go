package entry_test

import (
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/internal/testfleet"
	"github.com/jacinthrack/jacinthrack/limits"
	"github.com/jacinthrack/jacinthrack/operatorapi"
)

// Guards against a large fleet whose instances hold the ledgers themselves, or get
// no share from their zone's keeper over gRPC, also after the keepers have died.
func TestLargeFleetHoldsLimitsByZone(t *testing.T) {
	const instances = 26
	zones := make([]string, instances)
	for i := range zones {
		zones[i] = []string{"north-a", "south-a"}[i%2]
	}
	fleet, err := testfleet.Start(t.Context(), testfleet.Options{Document: testDocument(), Zones: zones, Log: slog.New(slog.DiscardHandler)})
	must.NoError(t, err)
	t.Cleanup(fleet.Stop)
	served := func(from, keepers int) func() bool {
		return func() bool {
			for i := from; i < instances; i++ {
				status, err := fleet.Operator(i).Status(t.Context())
				if err != nil || !hasShare(status.Limits, "customer/acme") {
					return false
				}
			}
			return zoneHoldersOnly(t, fleet) && len(ledger(t, fleet).Holders) == keepers
		}
	}
	eventually(t, "every instance has a share of its zone", served(0, 2))
	fleet.Kill(0) // entry-0 and entry-1 have the lowest names of their zones
	fleet.Kill(1)
	// The floors of the dead keepers stay in the ledger.
	eventually(t, "every instance has a share of the next keeper", served(2, 4))
}

func hasShare(list []operatorapi.LimitInfo, name string) bool {
	return slices.ContainsFunc(list, func(l operatorapi.LimitInfo) bool { return l.Name == name && l.RatePerSecond > 0 })
}

// zoneHoldersOnly reports whether the holders of leases and floors are zones.
func zoneHoldersOnly(t *testing.T, fleet *testfleet.Fleet) bool {
	for _, e := range ledger(t, fleet).Holders {
		if strings.HasPrefix(e.Instance, "entry-") {
			return false
		}
	}
	return true
}

func ledger(t *testing.T, fleet *testfleet.Fleet) limits.Ledger {
	row, err := fleet.Platform.Store.Read(t.Context(), limits.LedgerKey("customer/acme"))
	must.NoError(t, err)
	if row.Version == 0 {
		return limits.Ledger{}
	}
	l, err := limits.DecodeLedger(row.Value)
	must.NoError(t, err)
	return l
}
