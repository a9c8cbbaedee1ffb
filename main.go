// Command tanagergrade is a load balancer for expert-parallel model groups.
package main

import (
	"os"

	"tanagergrade/io/tgcommand"
)

func main() {
	os.Exit(tgcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
