// Command ironhollow-control runs a control process; see pkg/app/control.
package main

import (
	"os"

	"ironhollow/pkg/app/control"
)

func main() { os.Exit(control.Main()) }
