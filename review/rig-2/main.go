// Command rig-2 runs the cases of the second review that are scripts.
package main

import (
	"os"

	"github.com/parsleybarrow/parsleybarrow/review/rig-2/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
