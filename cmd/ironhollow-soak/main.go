// Command ironhollow-soak runs ironhollow-node processes under seeded random faults
// and checks their guarantees; see pkg/soak.
package main

import (
	"os"

	"ironhollow/pkg/app/soak"
)

func main() { os.Exit(soak.Main()) }
