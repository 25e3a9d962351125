// Package holders chooses the instances that hold a small piece of shared state, and
// queries them. State that several instances hold survives the crash of one that recorded
// it, without a write to the store.
package holders
