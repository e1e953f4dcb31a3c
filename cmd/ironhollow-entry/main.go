// Command ironhollow-entry runs an entry process; see pkg/app/entry.
package main

import (
	"os"

	"ironhollow/pkg/app/entry"
)

func main() { os.Exit(entry.Main()) }
