// Command ironhollow-load hands over to pkg/app/load.
package main

import (
	"os"

	"ironhollow/pkg/app/load"
)

func main() { os.Exit(load.Main()) }
