package command

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/emulator"
)

// dispatchRow is the result of one emulated deployment.
type dispatchRow struct {
	Seed       uint64              `json:"seed"`
	Load       float64             `json:"load"`
	Deployment emulator.Deployment `json:"deployment"`
	Report     *emulator.Report    `json:"report"`
}

// benchDispatchCommand plays generated deployments against the decisions of package dispatch.
func benchDispatchCommand(o *options) *cobra.Command {
	var (
		count    int
		seed     uint64
		loads    []float64
		duration time.Duration
	)
	cmd := &cobra.Command{
		Use:   "dispatch",
		Short: "Play generated deployments against the placing, waiting and rejecting of requests",
		Long: `Play generated deployments in simulated time: entry instances with the real decisions,
models of callers, backend servers and the network. For each deployment and load it
prints which share of the requests was answered within the latency objective, later or
not at all. Runs are reproducible from the seed.`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var rows []dispatchRow
			for n := range count {
				for _, load := range loads {
					deployment := emulator.Generate(seed+uint64(n), load)
					deployment.Duration = duration
					report, err := emulator.Run(deployment)
					if err != nil {
						return err
					}
					rows = append(rows, dispatchRow{Seed: deployment.Seed, Load: load, Deployment: deployment, Report: report})
				}
				fmt.Fprintf(cmd.ErrOrStderr(), "\rplayed %d of %d deployments", n+1, count)
			}
			fmt.Fprintln(cmd.ErrOrStderr())
			return o.print(rows, dispatchTable(rows))
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&count, "deployments", 60, "number of generated deployments")
	flags.Uint64Var(&seed, "seed", 1, "seed of the first deployment; the others follow")
	flags.Float64SliceVar(&loads, "load", []float64{0.3, 1, 3}, "requested work as fractions of the capacity")
	flags.DurationVar(&duration, "duration", 12*time.Second, "simulated time during which requests arrive")
	return cmd
}

func dispatchTable(rows []dispatchRow) *table {
	t := &table{header: []string{"SEED", "LOAD", "SERVERS", "SLOTS", "GAIN", "OBJECTIVE/SERVICE", "IN TIME", "LATE", "REFUSED", "BUSY SLOTS", "OTHER REGION"}}
	for _, r := range rows {
		d := r.Deployment
		t.addRow(strconv.FormatUint(r.Seed, 10), formatNumber(r.Load), strconv.Itoa(d.Servers()), strconv.Itoa(d.Slots), formatNumber(d.CacheGain),
			formatNumber(float64(d.Objective)/float64(d.ServiceTime)), formatNumber(r.Report.InTime), formatNumber(r.Report.Late),
			formatNumber(r.Report.Refused), formatNumber(r.Report.BusySlots), formatNumber(r.Report.OtherRegion))
	}
	return t
}
