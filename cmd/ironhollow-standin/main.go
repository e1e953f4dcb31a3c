// Command ironhollow-standin hands over to pkg/app/standin.
package main

import (
	"os"

	"ironhollow/pkg/app/standin"
)

func main() { os.Exit(standin.Main()) }
