// Command review-lab-2 plays the scripted cases of the second review: it starts ironhollow-node processes and
// stand-ins for the store, the servers and the consumers on loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoPlay = 2
)

// longestPlay bounds a play.
const longestPlay = 110 * time.Second

// cases are the cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(*lab) string{
	"keys":       keys,
	"memory":     memory,
	"takeup":     takeUp,
	"duties":     duties,
	"drills":     drills,
	"late-entry": lateEntry,
	"passed-key": passedKey,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab-2 CASE FOLDER")
		return exitNoPlay
	}
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(failure)
			if !ok {
				panic(p)
			}
			fmt.Fprintln(os.Stderr, "the case could not run:", f.text)
			code = exitNoPlay
		}
	}()
	l := newLab(os.Args[2])
	defer l.stop()
	go func() {
		ends := make(chan os.Signal, 1)
		signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ends:
		case <-time.After(longestPlay):
			fmt.Fprintln(os.Stderr, "the case could not run: it has taken too long")
		}
		l.stop()
		os.Exit(exitNoPlay)
	}()
	broken := cases[os.Args[1]](l)
	if broken != "" {
		l.record.line("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	l.record.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
