// Command play carries out the cases 6 to 10 of the review: it starts the project's programs as processes, plays clients, slot
// caches, origin, discovery and the platform around them, and judges one rule of the pages by what these have seen.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by the number of their folder. trouble is false if the disruption is to be left out.
var cases = map[string]func(w *world, trouble bool) (broken []string){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: play CASE")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "call" { // a command that a case has given to the program under test
		os.Exit(callBack(os.Args[2], os.Args[3:]))
	}
	os.Exit(playCase(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

// playCase plays one case from the root of the repository and returns the exit code.
func playCase(number string, trouble bool) (code int) {
	play := cases[number]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", number)
		return exitNotRun
	}
	w, err := newWorld(filepath.Join("review", number, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if failure := recover(); failure != nil {
			stopped, ok := failure.(notRun)
			if !ok {
				panic(failure)
			}
			w.note("could not run: %s", string(stopped))
			fmt.Fprintln(os.Stderr, "could not run:", string(stopped))
			code = exitNotRun
		}
	}()
	w.note("case %s, disruption: %v", number, trouble)
	broken := play(w, trouble)
	for _, text := range broken {
		w.note("BROKEN: %s", text)
	}
	if len(broken) > 0 {
		fmt.Printf("case %s: broken: %s\n", number, strings.Join(broken[:min(len(broken), 3)], "; "))
		return exitBroken
	}
	w.note("held")
	fmt.Printf("case %s: held\n", number)
	return exitHeld
}

// notRun is the value with which a case panics that could not run.
type notRun string

// stop ends a case that could not run.
func stop(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

// must stops the case if there is an error.
func must(err error) {
	if err != nil {
		stop("%v", err)
	}
}
