// Command ironhollow-load generates load and runs measurements; see pkg/app/load.
package main

import (
	"os"

	"ironhollow/pkg/app/load"
)

func main() { os.Exit(load.Main()) }
