// Command load drives entry processes over loopback through a scenario and
// prints what callers and workers saw.
package main

import (
	"os"

	"github.com/almondpost/almondpost/internal/emulate/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
