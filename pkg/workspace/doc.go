// Package workspace decides in which order the requests of many workspaces are sent to the targets.
//
// A Queue is bounded, serves classes by priority and shares each class between
// workspaces by weight. It immediately refuses a request that cannot end by its deadline. The
// caller owns a Queue and must lock it; the package imports no other package of the project.
package workspace
