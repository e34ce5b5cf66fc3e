package command

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/bench"
	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/testfleet"
	"github.com/jacinthrack/jacinthrack/trace"
)

// serviceTime is the duration of a request on the demo's backend servers.
const serviceTime = 5 * time.Millisecond

// shareWait is the time for the entry instances of a new fleet to get their shares
// of each customer's rate.
const shareWait = 8 * time.Second

// demoInstances is the number of entry instances that the users run today.
const demoInstances = 7

func demoCommand(o *options) *cobra.Command {
	var (
		settings benchOptions
		logFile  string
	)
	cmd := &cobra.Command{
		Use:   "demo CONFIG",
		Short: "Run seven entry instances with stand-ins, send traffic, print a summary",
		Long: `Run seven entry instances with a platform stand-in and backend servers on loopback
addresses of this machine, publish CONFIG, send the declared mix for a while and
print a summary. Nothing is left running.`,
		Args: args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, list []string) error {
			doc, err := readDocument(list[0])
			if err != nil {
				return err
			}
			result, err := demo(cmd.Context(), doc, settings, logFile)
			if err != nil {
				return err
			}
			return o.printResult(result)
		},
	}
	benchFlags(cmd, &settings)
	cmd.Flags().StringVar(&logFile, "log", "", "file for the decision log; without it, no log is kept")
	return cmd
}

func benchFlags(cmd *cobra.Command, settings *benchOptions) {
	flags := cmd.Flags()
	flags.DurationVar(&settings.duration, "duration", 10*time.Second, "time in which requests are sent")
	flags.Float64Var(&settings.load, "load", 0.3, "load of each customer, as a multiple of its rate")
	flags.Float64Var(&settings.surge, "surge", 0, "load of the first customer in surges, as a multiple of its rate; 0 for none")
	flags.Uint64Var(&settings.seed, "seed", 1, "seed of the arrivals")
}

// demo runs a plan against a fleet in this process.
func demo(ctx context.Context, doc *config.Document, settings benchOptions, logFile string) (*bench.Result, error) {
	log, closeLog, err := openLog(logFile)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	fleet, err := testfleet.Start(ctx, testfleet.Options{
		Document:    doc,
		InstanceZones:       instanceZones(doc),
		ServiceTime: serviceTime,
		Log:         log,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	plan, err := newPlan(ctx, fleet.OperatorClient(0), fleet.Document, entryAddresses(fleet), settings)
	if err != nil {
		return nil, err
	}
	plan.ControlAddress = fleet.ControlAddress
	plan.Drain = drainOf(fleet.Document, settings.duration)
	select {
	case <-time.After(shareWait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return bench.Run(ctx, plan)
}

// drainNotice is the time in which the draining server still takes work, so that
// work sent to it is seen.
const drainNotice = 4 * time.Second

// drainOf drains the second backend server halfway through a run. The first one
// answers the direct requests of the overhead comparison.
func drainOf(doc *config.Document, duration time.Duration) *bench.DrainPlan {
	return &bench.DrainPlan{
		Server:   doc.BackendServers[1%len(doc.BackendServers)].Name,
		At:       config.Duration(duration / 2),
		Announce: true,
		Notice:   config.Duration(drainNotice),
		WatchDuration:    config.Duration(drainNotice + time.Second),
	}
}

// instanceZones spreads the entry instances over the availability zones.
func instanceZones(doc *config.Document) []string {
	zones := make([]string, demoInstances)
	for i := range zones {
		zones[i] = doc.Zones[i%len(doc.Zones)].Name
	}
	return zones
}

func entryAddresses(fleet *testfleet.Fleet) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range fleet.Instances {
		out = append(out, netip.MustParseAddrPort(e.Settings().CallerAddress))
	}
	return out
}

func openLog(name string) (*slog.Logger, func() error, error) {
	if name == "" {
		return slog.New(slog.DiscardHandler), func() error { return nil }, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, nil, err
	}
	return slog.New(slog.NewJSONHandler(file, nil)), file.Close, nil
}

func (o *options) printResult(result *bench.Result) error {
	if o.output == outputJSON {
		return result.WriteJSON(o.out)
	}
	return result.WriteTable(o.out)
}

func benchCommand(o *options) *cobra.Command {
	return group("bench", "Measure a running fleet", benchRun(o), benchPlan(o), benchCompare(o), benchControl(o))
}

func benchRun(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "run PLAN",
		Short: "Run a JSON plan against running entry instances",
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, list []string) error {
			var plan bench.Plan
			if err := readJSON(list[0], &plan); err != nil {
				return err
			}
			result, err := bench.Run(cmd.Context(), plan)
			if err != nil {
				return err
			}
			return o.printResult(result)
		},
	}
}

func benchPlan(o *options) *cobra.Command {
	var (
		settings benchOptions
		entries  []string
	)
	cmd := &cobra.Command{
		Use:   "plan CONFIG --entry IP:PORT...",
		Short: "Grant a key to each customer and print a plan with the declared mix",
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, list []string) error {
			doc, err := readDocument(list[0])
			if err != nil {
				return err
			}
			var addresses []netip.AddrPort
			for _, text := range entries {
				address, err := netip.ParseAddrPort(text)
				if err != nil {
					return &UsageError{Err: err}
				}
				addresses = append(addresses, address)
			}
			plan, err := newPlan(cmd.Context(), o.client(), doc, addresses, settings)
			if err != nil {
				return err
			}
			return writeJSON(o.out, plan)
		},
	}
	benchFlags(cmd, &settings)
	cmd.Flags().StringSliceVar(&entries, "entry", nil, "caller address of an entry instance")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}

func benchCompare(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "compare BEFORE AFTER",
		Short: "Compare two JSON results",
		Args:  args(cobra.ExactArgs(2)),
		RunE: func(_ *cobra.Command, list []string) error {
			var results [2]*bench.Result
			for i, name := range list {
				file, err := os.Open(name)
				if err != nil {
					return err
				}
				results[i], err = bench.ReadResult(file)
				file.Close()
				if err != nil {
					return err
				}
			}
			comparison := bench.Compare(results[0], results[1])
			if o.output == outputJSON {
				return writeJSON(o.out, comparison)
			}
			return comparison.WriteTable(o.out)
		},
	}
}

func readJSON(name string, into any) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

func replayCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "replay TRACE...",
		Short: "Replay recorded traces through the decision packages and the baselines",
		Args:  args(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, list []string) error {
			for _, name := range list {
				t, err := trace.ReadFile(name)
				if err != nil {
					return err
				}
				if err := o.printComparison(trace.Compare(t, trace.Policies())); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func (o *options) printComparison(table trace.Table) error {
	if o.output == outputJSON {
		return writeJSON(o.out, table)
	}
	return table.WriteText(o.out)
}
