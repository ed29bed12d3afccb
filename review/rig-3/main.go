// Command rig-3 plays one case of the third review against processes of the system. Its
// argument is the name of the case, its second one the folder of the record.
package main

import (
	"os"

	"github.com/parsleybarrow/parsleybarrow/review/rig-3/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Getenv("TROUBLE") != "0")) }
