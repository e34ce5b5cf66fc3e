package limits

import (
	"testing"

	"github.com/jacinthrack/jacinthrack/internal/proptest"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.Steps("100")
	proptest.Checks("400")
	proptest.Main(m)
}
