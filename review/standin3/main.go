//go:build review

// Command standin3 plays the platform, the workers and the clients of the cases of the third
// review, and starts the entry VMs as processes.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("entry", "target/almondpost-entry", "the program of the entry VMs")
	recordFile := flag.String("record", "record.txt", "the record of the run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.Bool("keep", false, "keep the logs")
	flag.Parse()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c, err := newCell(folder, *recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	run, ok := cases[*name]
	status := 2
	if ok {
		status = run(c, *program, *trouble)
	}
	c.stop()
	c.record.printf("exit status %d", status)
	if *keep {
		fmt.Println(folder)
	} else {
		_ = os.RemoveAll(folder)
	}
	os.Exit(status)
}

// cases maps the names of the cases to functions that return the exit status.
var cases = map[string]func(c *cell, program string, trouble bool) int{"late_orders": lateOrders, "long_checkpoints": longCheckpoints, "same_id": sameID, "silent_connection": silentConnection}
