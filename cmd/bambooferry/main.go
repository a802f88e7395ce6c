// Command bambooferry runs an entry instance, the stand-ins and the operators' tools.
package main

import (
	"context"
	"os"

	"bambooferry.example/bambooferry/internal/command"
)

func main() {
	os.Exit(command.Main(context.Background(), command.ProcessEnvironment(), os.Args[1:]))
}
