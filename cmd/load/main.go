// Command load runs a load-test scenario against entry VM processes on loopback and
// prints the results that callers and workers observed.
package main

import (
	"os"

	"github.com/almondpost/almondpost/internal/emulate/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
