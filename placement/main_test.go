package placement

import (
	"testing"

	"github.com/jacinthrack/jacinthrack/internal/proptest"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.Main(m)
}
