package table_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests: the same verdict on each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}
