// Command ironhollow is the operators' command-line client; see pkg/app/cli.
package main

import (
	"os"

	"ironhollow/pkg/app/cli"
)

func main() { os.Exit(cli.Main()) }
