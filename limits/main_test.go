package limits

import (
	"testing"

	"github.com/jacinthrack/jacinthrack/internal/proptest"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.SetSteps("100")
	proptest.SetChecks("400")
	proptest.Main(m)
}
