// Command almondpost-entry runs an entry VM on the prepared platform.
package main

import (
	"os"

	"github.com/almondpost/almondpost/platform"
)

func main() { os.Exit(platform.Main(os.Stdout, os.Stderr)) }
