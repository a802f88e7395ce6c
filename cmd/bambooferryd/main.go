// Command bambooferryd runs an entry instance on the platform that deploy/system.toml names.
package main

import (
	"context"
	"os"

	"bambooferry.example/bambooferry/platform"
)

func main() {
	os.Exit(platform.Main(context.Background(), os.Stdout, os.Stderr))
}
