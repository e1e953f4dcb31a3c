// Command ironhollow-standin runs simulated platforms, engines and services; see
// pkg/app/standin.
package main

import (
	"os"

	"ironhollow/pkg/app/standin"
)

func main() { os.Exit(standin.Main()) }
