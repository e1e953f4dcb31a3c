// Command ironhollow-node runs the single process of a host on the users'
// platform; see pkg/app/node and platform.
package main

import (
	"os"

	"ironhollow/pkg/app/node"
	"ironhollow/platform"
)

func main() { os.Exit(node.Main(platform.Adapter{})) }
