// Command assigncompare compares schemes that assign client blocks to entry instances.
// It measures how evenly they spread the blocks, how many blocks move to another
// instance when one instance leaves, and the time of an assignment.
//
// Usage: go run ./lookup/assigncompare
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/mix"
)

// blockCount is the number of client blocks at the target scale.
const blockCount = 230_000

// instanceCounts are the numbers of entry instances in today's deployments and at the
// target scale.
var instanceCounts = []int{7, 410}

// comparison is the result for one scheme and number of instances, one row of the
// printed table.
type comparison struct {
	Scheme    string
	Instances int
	// MaxLoad and MinLoad are the highest and lowest number of blocks that an
	// instance has, relative to the mean.
	MaxLoad, MinLoad float64
	// MovedShare is the share of blocks that moved when one instance left, from 0 to
	// 1, and NeedlessShare the share that moved although their instance stayed.
	MovedShare, NeedlessShare float64
	// MaxLoadAfter is MaxLoad after the instance left.
	MaxLoadAfter float64
	StateBytes   int           // see scheme.stateBytes
	AssignTime   time.Duration // mean time to assign one block
}

func main() {
	if err := writeTable(os.Stdout, compareAll(generateBlockHashes(blockCount))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generateBlockHashes returns n hashes that stand for client blocks.
func generateBlockHashes(n int) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = mix.Bits(uint64(i)*0x9e3779b97f4a7c15 + 1)
	}
	return hashes
}

func compareAll(blockHashes []uint64) []comparison {
	var results []comparison
	for _, instances := range instanceCounts {
		for _, b := range schemeBuilders() {
			results = append(results, compareScheme(b, instances, blockHashes))
		}
	}
	return results
}

// compareScheme assigns the blocks with a scheme before and after one of the instances
// leaves.
func compareScheme(b schemeBuilder, instances int, blockHashes []uint64) comparison {
	live := make([]int, instances)
	for i := range live {
		live[i] = i
	}
	leaving := instances / 2
	schemeBefore := b.build(live, nil)
	started := time.Now()
	before := assignAll(schemeBefore, blockHashes)
	assignTime := time.Since(started) / time.Duration(len(blockHashes))
	schemeAfter := b.build(slices.Delete(slices.Clone(live), leaving, leaving+1), schemeBefore)
	after := assignAll(schemeAfter, blockHashes)
	r := comparison{Scheme: b.name, Instances: instances, StateBytes: schemeBefore.stateBytes(), AssignTime: assignTime}
	r.MaxLoad, r.MinLoad = loadBounds(before, instances, -1)
	r.MaxLoadAfter, _ = loadBounds(after, instances, leaving)
	r.MovedShare, r.NeedlessShare = movedShares(before, after, leaving)
	return r
}

// assignAll returns the instance of each block.
func assignAll(s scheme, blockHashes []uint64) []int {
	assigned := make([]int, len(blockHashes))
	for i, hash := range blockHashes {
		assigned[i] = s.assign(hash)
	}
	return assigned
}

// loadBounds returns the highest and lowest number of blocks per instance, relative to
// their mean. It leaves out the instance leaving unless that is negative.
func loadBounds(assigned []int, instances, leaving int) (highest, lowest float64) {
	counts := make([]int, instances)
	for _, instance := range assigned {
		counts[instance]++
	}
	if leaving >= 0 {
		counts = slices.Delete(counts, leaving, leaving+1)
	}
	mean := float64(len(assigned)) / float64(len(counts))
	return float64(slices.Max(counts)) / mean, float64(slices.Min(counts)) / mean
}

// movedShares returns the share of blocks whose instance differs between before and
// after, and the share of those among them whose instance before is not the leaving
// one.
func movedShares(before, after []int, leaving int) (all, needless float64) {
	for i := range before {
		if before[i] == after[i] {
			continue
		}
		all++
		if before[i] != leaving {
			needless++
		}
	}
	n := float64(len(before))
	return all / n, needless / n
}

func writeTable(w io.Writer, results []comparison) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "instances\tscheme\tmax/mean\tmin/mean\tmoved\tneedlessly\tideal\tmax/mean after\tagreed state\ttime/block\t")
	for _, r := range results {
		fmt.Fprintf(tw, "%d\t%s\t%.3f\t%.3f\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f\t%d B\t%v\t\n",
			r.Instances, r.Scheme, r.MaxLoad, r.MinLoad, 100*r.MovedShare, 100*r.NeedlessShare,
			100/float64(r.Instances), r.MaxLoadAfter, r.StateBytes, r.AssignTime)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write comparison table: %w", err)
	}
	return nil
}
