// Package command implements the subcommands of the bambooferry program.
//
// Settings are read from flags and the environment and validated before anything starts.
package command
