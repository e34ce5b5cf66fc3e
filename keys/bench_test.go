package keys

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSet measures what one key costs: the time to check it and the memory
// to hold it, at three sizes.
func BenchmarkSet(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			before := liveHeap()
			set, presented := filledSet(size)
			perKey := float64(liveHeap()-before) / float64(size)
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

func filledSet(size int) (*KeySet, string) {
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

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
