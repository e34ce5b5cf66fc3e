package memory_test

import (
	"testing"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/jacinthrack/jacinthrack/tablestore/storetest"
)

// The in-memory platform backs most tests of other packages; a difference from
// the contract would hide their faults.
func TestContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Platform {
		store := memory.New()
		return storetest.Platform{
			Table:        store,
			Objects:      store,
			Instances:    store,
			SetInstances: store.SetInstances,
			Limits: storetest.Limits{
				WritesPerTransaction:     memory.MaxWritesPerTransaction,
				RowsPerScan:   memory.MaxScanRows,
				ValueBytes: memory.MaxValueBytes,
			},
		}
	})
}
