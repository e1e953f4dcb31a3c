package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	troubleName = "TROUBLE"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	cases := map[string]func(*recorder, bool) (bool, error){"drain": runDrain, "takeup": runTakeUp, "upgrade": runUpgrade}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return exitNotRun
	}
	record, err := newRecorder(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	broken, err := cases[args[0]](record, os.Getenv(troubleName) != "0")
	switch {
	case broken:
		return exitBroken
	case err != nil:
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
