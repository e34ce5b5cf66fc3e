package limits

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that runs repeat. The command line may set
// another one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "100", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
