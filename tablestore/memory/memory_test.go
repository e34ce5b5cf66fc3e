package memory_test

import (
	"testing"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/jacinthrack/jacinthrack/tablestore/storetest"
)

// The in-memory platform fulfills the contract. Most tests of other packages rely on it, so
// a deviation would hide faults in those packages.
func TestContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Platform {
		store := memory.New()
		return storetest.Platform{
			Table:        store,
			Objects:      store,
			Instances:    store,
			SetInstances: store.SetInstances,
			Limits: storetest.Limits{
				WritesPerTransaction: memory.MaxWritesPerTransaction,
				RowsPerScan:          memory.MaxScanRows,
				ValueBytes:           memory.MaxValueBytes,
			},
		}
	})
}
