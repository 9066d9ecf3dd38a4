// Standin plays the platform, the workers, the operator and the clients of a small deployment
// against almondpost-entry processes, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// scenario plays a case. It returns what broke the rule, or an empty text. trouble is false
// if the case is played without its disruption.
type scenario struct {
	lease time.Duration
	play  func(in *installation, trouble bool) string
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/almondpost-entry", "the program of the entry VMs")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(playCase(*name, *program, *record, os.Getenv("TROUBLE") != "0"))
}

// longestPlay limits the time of a case.
const longestPlay = 112 * time.Second

func playCase(name, program, record string, trouble bool) (status int) {
	s, ok := scenarios[name]
	if !ok {
		names := []string{}
		for n := range scenarios {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "the cases are", names)
		return 2
	}
	defer func() {
		if r := recover(); r != nil {
			code, ok := r.(exit)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	in := newInstallation(record, program, s.lease)
	defer in.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longestPlay):
		}
		fmt.Fprintln(os.Stderr, "the case was interrupted")
		in.close()
		os.Exit(2)
	}()
	broken := s.play(in, trouble)
	if broken == "" {
		in.record.event("verdict", "rule", "held")
		fmt.Println("the rule held")
		return 0
	}
	in.record.event("verdict", "rule", "broken: "+broken)
	fmt.Println("the rule is broken:", broken)
	return 1
}
