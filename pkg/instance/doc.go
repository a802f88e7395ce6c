// Package instance implements group membership: it decides which entry instances are members and
// whether they are alive, leaving or dead.
//
// A Table is the member table of one instance. Its owner guards it with one lock
// and sends and receives its messages. The package imports no other package of the project.
package instance
