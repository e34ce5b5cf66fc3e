// Package proptest runs property tests repeatably. It is imported by tests only.
package proptest

import (
	"flag"
	"os"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// defaultSeed is the seed of a run that names none, so that CI gives the same
// verdict every time.
const defaultSeed = "1"

// Main runs the tests of a package with a fixed seed unless -rapid.seed gives
// another one. Files of failed runs are not kept, since they change later runs.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		set("rapid.seed", defaultSeed)
	}
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// SetSteps sets the length of state machine runs. It is called before Main, so that
// the command line takes precedence.
func SetSteps(n string) { set("rapid.steps", n) }

// SetChecks sets the number of runs of each property. It is called before Main, so
// that the command line takes precedence.
func SetChecks(n string) { set("rapid.checks", n) }

func set(name, value string) {
	// The flags are registered by the import above.
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
