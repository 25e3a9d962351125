// Package lostruns remembers under which requests targets ended, over all instances. A
// request may end each target that runs it, and its caller sends it again through any
// instance, also after the one that saw the targets end has crashed.
//
// # Work and runs
//
// What a caller asks for, over all of its attempts, is a piece of work. A run of it that a
// target did not complete is lost: the target ended, or only the connection. A run whose
// connection was closed by an instance may still end its target; it is undecided until the
// target was seen after the deadline that it was given. Each instance keeps the lost runs
// that it was told of for the lifetime of the work, and the states of a run only advance,
// so that notices may arrive late, twice or in any order.
//
// # Holders
//
// Before work that has lost a run is sent again, and before its caller gets a response, two
// other instances are told of its lost runs and of the one about to begin. The instances
// are chosen by rendezvous hashing of the program, whose budget they own too. If too few
// reply, all that are connected are told: a holder may have lost power, and the list of
// instances may be out of date after all were restarted. Before the first send of an
// attempt the first holder is asked; all holders while they have recently changed. An
// instance that shuts down tells all that are connected of the runs it holds.
//
// # Records
//
// Holders may all end at once. The runs of work of which a target ended, or a run is open,
// are therefore recorded in the store, too, each under its own key, so that no writer can
// undo what another one wrote. Every instance follows the records' topic. It reads on in it
// before a send if too few holders reply while the holders change, as after a start, or if
// none replies while instances end. A record ends with its work.
//
// # Alarms
//
// An instance that learns of a lost run tells all connected instances, and those that
// connect later, before it replies. While the first holder has raised no alarm, it is not
// asked, so that requests cost no messages while no targets end.
//
// # First runs
//
// While targets or instances have ended recently, one other instance is told of the first
// run of any work. It counts as lost once its instance does not respond.
//
// # The invariant
//
// Work is not sent to a target once as many may have ended under it as are allowed to,
// except under the first runs of instances that ended during these. It relies on one of:
// two other instances, or the store, acknowledged each further run before it began.
package lostruns
