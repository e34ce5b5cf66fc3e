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

// demoServiceTime is the service time of a request at the demo's backend servers.
const demoServiceTime = 5 * time.Millisecond

// shareSettleTime is the wait before the load starts, in which the entry instances of a
// new fleet obtain their shares of each customer's rate.
const shareSettleTime = 8 * time.Second

// demoInstances is the number of entry instances in the demo, as many as the users run
// today.
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
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			result, err := runDemo(cmd.Context(), doc, settings, logFile)
			if err != nil {
				return err
			}
			return o.printResult(result)
		},
	}
	addBenchFlags(cmd, &settings)
	cmd.Flags().StringVar(&logFile, "log", "", "file for the decision log; without it, no log is kept")
	return cmd
}

// addBenchFlags adds the flags that set options of a plan.
func addBenchFlags(cmd *cobra.Command, settings *benchOptions) {
	flags := cmd.Flags()
	flags.DurationVar(&settings.duration, "duration", 10*time.Second, "time in which requests are sent")
	flags.Float64Var(&settings.loadFactor, "load", 0.3, "load of each customer, as a multiple of its rate")
	flags.Float64Var(&settings.surgeFactor, "surge", 0, "load of the first customer in surges, as a multiple of its rate; 0 for none")
	flags.Uint64Var(&settings.seed, "seed", 1, "seed of the arrivals")
}

// runDemo starts a fleet in this process and runs a plan with the declared mix against
// it.
func runDemo(ctx context.Context, doc *config.Document, settings benchOptions, logFile string) (*bench.Result, error) {
	log, closeLog, err := openLog(logFile)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	fleet, err := testfleet.Start(ctx, testfleet.Options{
		Document:      doc,
		InstanceZones: instanceZones(doc),
		ServiceTime:   demoServiceTime,
		Log:           log,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	plan, err := newBenchPlan(ctx, fleet.OperatorClient(0), fleet.Document, entryAddresses(fleet), settings)
	if err != nil {
		return nil, err
	}
	plan.ControlAddress = fleet.ControlAddress
	plan.Drain = demoDrainPlan(fleet.Document, settings.duration)
	select {
	case <-time.After(shareSettleTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return bench.Run(ctx, plan)
}

// demoDrainNotice is the time in which the draining server still accepts requests, so
// that requests still sent to it can be counted.
const demoDrainNotice = 4 * time.Second

// demoDrainPlan drains the second backend server halfway through a run, since the first
// one answers the direct requests of the overhead comparison.
func demoDrainPlan(doc *config.Document, duration time.Duration) *bench.DrainPlan {
	return &bench.DrainPlan{
		Server:        doc.BackendServers[1%len(doc.BackendServers)].Name,
		At:            config.Duration(duration / 2),
		Announce:      true,
		Notice:        config.Duration(demoDrainNotice),
		WatchDuration: config.Duration(demoDrainNotice + time.Second),
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

// entryAddresses returns the caller addresses of the entry instances.
func entryAddresses(fleet *testfleet.Fleet) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, instance := range fleet.Instances {
		addresses = append(addresses, netip.MustParseAddrPort(instance.Settings().CallerAddress))
	}
	return addresses
}

// openLog creates a log file and returns a JSON logger and a function that closes the
// file. Without a file name the logger discards everything.
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
	if o.outputFormat == outputJSON {
		return result.WriteJSON(o.stdout)
	}
	return result.WriteTable(o.stdout)
}

func benchCommand(o *options) *cobra.Command {
	return commandGroup("bench", "Measure a running fleet", benchRunCommand(o), benchPlanCommand(o), benchCompareCommand(o), benchControlCommand(o), benchDispatchCommand(o))
}

func benchRunCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "run PLAN",
		Short: "Run a JSON plan against running entry instances",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var plan bench.Plan
			if err := readJSON(args[0], &plan); err != nil {
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

func benchPlanCommand(o *options) *cobra.Command {
	var (
		settings   benchOptions
		entryFlags []string
	)
	cmd := &cobra.Command{
		Use:   "plan CONFIG --entry IP:PORT...",
		Short: "Grant a key to each customer and print a plan with the declared mix",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			var addresses []netip.AddrPort
			for _, flag := range entryFlags {
				address, err := netip.ParseAddrPort(flag)
				if err != nil {
					return &UsageError{Err: err}
				}
				addresses = append(addresses, address)
			}
			plan, err := newBenchPlan(cmd.Context(), o.client(), doc, addresses, settings)
			if err != nil {
				return err
			}
			return writeJSON(o.stdout, plan)
		},
	}
	addBenchFlags(cmd, &settings)
	cmd.Flags().StringSliceVar(&entryFlags, "entry", nil, "caller address of an entry instance")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}

func benchCompareCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "compare BEFORE AFTER",
		Short: "Compare two JSON results",
		Args:  usageArgs(cobra.ExactArgs(2)),
		RunE: func(_ *cobra.Command, args []string) error {
			var results [2]*bench.Result
			for i, name := range args {
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
			if o.outputFormat == outputJSON {
				return writeJSON(o.stdout, comparison)
			}
			return comparison.WriteTable(o.stdout)
		},
	}
}

// readJSON decodes a JSON file into out. Unknown fields are errors.
func readJSON(name string, out any) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return decoder.Decode(out)
}

func replayCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "replay TRACE...",
		Short: "Replay recorded traces through the decision packages and the baselines",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, name := range args {
				recorded, err := trace.ReadFile(name)
				if err != nil {
					return err
				}
				if err := o.printComparison(trace.Compare(recorded, trace.Policies())); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func (o *options) printComparison(table trace.Comparison) error {
	if o.outputFormat == outputJSON {
		return writeJSON(o.stdout, table)
	}
	return table.WriteText(o.stdout)
}
