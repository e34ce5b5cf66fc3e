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

// In a large fleet, zones rather than instances are the holders in the limit ledgers,
// and every instance gets a share from its zone's allocator over gRPC, also after the
// allocators have crashed.
func TestLargeFleetGrantsSharesByZone(t *testing.T) {
	const instances = 26
	zones := make([]string, instances)
	for i := range zones {
		zones[i] = []string{"north-a", "south-a"}[i%2]
	}
	fleet, err := testfleet.Start(t.Context(), testfleet.Options{Document: testDocument(), InstanceZones: zones, Log: slog.New(slog.DiscardHandler)})
	must.NoError(t, err)
	t.Cleanup(fleet.Stop)
	sharesGranted := func(firstInstance, ledgerHolders int) func() bool {
		return func() bool {
			for i := firstInstance; i < instances; i++ {
				status, err := fleet.OperatorClient(i).Status(t.Context())
				if err != nil || !hasShare(status.Limits, "customer/acme") {
					return false
				}
			}
			return allHoldersAreZones(t, fleet) && len(readLedger(t, fleet).Holders) == ledgerHolders
		}
	}
	waitUntil(t, "every instance has a share of its zone", sharesGranted(0, 2))
	fleet.Kill(0) // entry-0 and entry-1, the lowest names of their zones, are the allocators
	fleet.Kill(1)
	// The floors of the crashed allocators stay in the ledger.
	waitUntil(t, "every instance has a share of the next allocator", sharesGranted(2, 4))
}

func hasShare(list []operatorapi.LimitInfo, name string) bool {
	return slices.ContainsFunc(list, func(l operatorapi.LimitInfo) bool { return l.Name == name && l.RatePerSecond > 0 })
}

// allHoldersAreZones reports whether no instance is itself a holder of a lease or floor
// in the ledger.
func allHoldersAreZones(t *testing.T, fleet *testfleet.Fleet) bool {
	for _, holder := range readLedger(t, fleet).Holders {
		if strings.HasPrefix(holder.Instance, "entry-") {
			return false
		}
	}
	return true
}

// readLedger returns the platform's ledger of the limit of customer "acme", empty if the
// row does not exist.
func readLedger(t *testing.T, fleet *testfleet.Fleet) limits.Ledger {
	row, err := fleet.Platform.Store.Read(t.Context(), limits.LedgerKey("customer/acme"))
	must.NoError(t, err)
	if row.Version == 0 {
		return limits.Ledger{}
	}
	ledger, err := limits.DecodeLedger(row.Value)
	must.NoError(t, err)
	return ledger
}
