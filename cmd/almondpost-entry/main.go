// Command almondpost-entry runs an entry VM with the settings and interfaces of the
// platform that package platform adapts.
package main

import (
	"os"

	"github.com/almondpost/almondpost/platform"
)

func main() { os.Exit(platform.Main(os.Stdout, os.Stderr)) }
