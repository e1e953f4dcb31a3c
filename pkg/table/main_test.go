package table_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}
