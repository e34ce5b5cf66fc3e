// Package proptest runs property tests with reproducible seeds. Only tests import it.
package proptest

import (
	"flag"
	"os"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// defaultSeed is used if -rapid.seed is not given, so that CI runs are reproducible.
const defaultSeed = "1"

// Main runs the tests of a package with defaultSeed unless -rapid.seed is given. It turns
// off rapid's fail files, since rapid replays them in later runs.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		setFlag("rapid.seed", defaultSeed)
	}
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// SetSteps sets the number of steps in each run of a state machine test. Call it before
// Main, so that -rapid.steps on the command line takes precedence.
func SetSteps(n string) { setFlag("rapid.steps", n) }

// SetChecks sets the number of runs of each property. Call it before Main, so that
// -rapid.checks on the command line takes precedence.
func SetChecks(n string) { setFlag("rapid.checks", n) }

func setFlag(name, value string) {
	// The import of rapid registers the flags, so that Set fails only for an invalid value.
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
