package keys

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSet measures the time to verify a key and the memory per key for sets of
// three sizes.
func BenchmarkSet(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			before := heapBytes()
			set, presented := newFilledKeySet(size)
			perKey := float64(heapBytes()-before) / float64(size)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := set.Verify(presented, "route"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(perKey, "B/key")
			runtime.KeepAlive(set)
		})
	}
}

func newFilledKeySet(size int) (*KeySet, string) {
	set := NewKeySet()
	state := State{Generation: uint64(size)}
	var presented string
	for range size {
		key := NewKey()
		presented = key.Reveal()
		state.Records = append(state.Records, NewRecord(key, "customer", []string{AnyRoute}))
	}
	set.Import(state)
	return set, presented
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
