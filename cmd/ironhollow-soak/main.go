// Command ironhollow-soak runs ironhollow-node processes under faults drawn from
// seeds and checks their promises; see pkg/soak.
package main

import (
	"os"

	"ironhollow/pkg/app/soak"
)

func main() { os.Exit(soak.Main()) }
