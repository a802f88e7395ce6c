// Package engine is a stand-in for a model engine.
//
// Its output is a pure function of model, version, adapter, seed, prompt and
// position, so that any answer can be verified byte by byte. It batches up to a
// number of slots, queues by priority, crashes above a limit, caches prompt
// prefixes, and fails on demand. One lock guards all records of an Engine.
package engine
