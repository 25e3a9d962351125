// Package lostruns remembers under which requests targets ended, over all instances. A
// request may end each target that runs it, and its caller sends it again through any
// instance, also after the one that saw the targets end has crashed.
//
// # Work and runs
//
// What a caller asks for, over all of its attempts, is a piece of work. A run of it that a
// target did not complete is lost: the target ended, or only the connection. Each
// instance keeps the lost runs that it was told of for the lifetime of the work, and the
// states of a run only advance, so that notices may arrive late, twice or in any order.
//
// # Holders
//
// Before work that has lost a run is sent again, and before its caller gets a response, two
// other instances are told of its lost runs and of the one about to begin. The instances
// are chosen by rendezvous hashing of the program, whose budget they own too. If neither
// replies, all that are connected are told: a holder may have lost power, and the list of
// instances may be out of date after all were restarted. Before the first send of an
// attempt the first holder is asked; all holders while they have recently changed. An
// instance that shuts down tells all that are connected of the runs it holds.
//
// # Alarms
//
// An instance that learns of a lost run tells all connected instances, and those that
// connect later, before it replies. While the first holder has raised no alarm, it is not
// asked, so that requests cost no messages while no targets end.
//
// # The invariant
//
// Work is not sent to a target once it may have ended as many as it is allowed to, of
// which the holders know all but those under runs of an instance that crashed before it
// lost the first one.
package lostruns
