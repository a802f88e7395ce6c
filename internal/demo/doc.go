// Package demo shows in a few seconds what callers see when parts of a deployment fail.
package demo
