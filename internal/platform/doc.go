// Package platform implements the client of the platform's key-value service and instance list.
//
// It owns no state and imports no other package of this project.
package platform
