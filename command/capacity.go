package command

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/internal/capacity"
)

// benchControlCommand measures the control traffic of a fleet for each given number of
// instances.
func benchControlCommand(o *options) *cobra.Command {
	var (
		instances []int
		size      capacity.FleetSize
		measured  time.Duration
	)
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Measure the control traffic of fleets of several sizes in this process",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var rows []capacity.Measurement
			for _, n := range instances {
				size.Instances = n
				row, err := capacity.Measure(cmd.Context(), size, measured)
				if err != nil {
					return err
				}
				rows = append(rows, row)
			}
			return o.print(rows, capacityTable(rows))
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&instances, "instances", []int{12, 24, 48}, "numbers of entry instances")
	flags.IntVar(&size.Regions, "regions", 8, "regions")
	flags.IntVar(&size.Zones, "zones", 24, "availability zones")
	flags.IntVar(&size.Sites, "sites", 42, "sites")
	flags.IntVar(&size.Customers, "customers", 20, "customers, each with a fleet-wide limit")
	flags.IntVar(&size.Blocks, "blocks", 1000, "client blocks")
	flags.DurationVar(&measured, "duration", 20*time.Second, "time that each fleet is measured")
	return cmd
}

func capacityTable(rows []capacity.Measurement) *table {
	t := &table{header: []string{"INSTANCES", "CUSTOMERS", "BLOCKS", "CPU % OF A CORE", "HEAP MB", "SENT B/S", "RECEIVED B/S", "PLATFORM READS/S", "ROW WRITES/S", "PUBLISH IN FORCE", "REPLACEMENT READY"}}
	for _, r := range rows {
		t.addRow(strconv.Itoa(r.Instances), strconv.Itoa(r.Customers), strconv.Itoa(r.Blocks), formatNumber(r.CPUPercent), formatNumber(r.HeapMB),
			formatNumber(r.SentPerSecond), formatNumber(r.ReceivedPerSec), formatNumber(r.ReadsPerSecond), formatNumber(r.WritesPerSecond),
			r.PublishInForce.Round(time.Millisecond).String(), r.ReplaceReady.Round(time.Millisecond).String())
	}
	return t
}

func formatNumber(f float64) string { return fmt.Sprintf("%.2f", f) }
