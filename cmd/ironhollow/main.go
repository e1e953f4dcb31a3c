// Command ironhollow hands over to pkg/app/cli.
package main

import (
	"os"

	"ironhollow/pkg/app/cli"
)

func main() { os.Exit(cli.Main()) }
