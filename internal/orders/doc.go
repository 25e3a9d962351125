// Package orders gives orders to model engines: load a model, an adapter or a
// version, or take a role. It is a pure component of the core; see Controller.
//
// # Desired state
//
// Settings name the desired state of a service under services/<name>/orders/:
// model, adapter, version and role. What is absent is not ordered. The
// controller is level-triggered: every few seconds it reads the state of each
// target of the pool (the service's targets in this region), compares it with
// the desired one, and sends at most one order to a target at a time. An order
// is done when it was read back from the target. A target that was restarted
// and lost its state, or that is new, differs from the desired state and gets
// its orders again. A failure is retried with backoff, without an end. Targets
// that leave get no orders. At most orders/parallel targets of a pool change at
// once and loads are orders/interval apart, because the weight store is
// rate-limited; a new controller does not know what its predecessor's targets
// still load, so that parallel may be exceeded for the time of one load after a
// change of controller, while interval is kept.
//
// # Epochs
//
// One controller a pool gives orders. Membership says which instance should
// (Members.DispatcherOf); the pool's log stream decides. A claim names an epoch,
// and counts if its epoch is greater than that of every claim before it in the
// stream. An instance is the controller once it has read its own claim back and
// until it reads a newer one. The epoch is the fencing number of the orders.
//
// The epoch of a claim is the offset up to which its writer had read the stream,
// plus one. So of several writers that read the same, the first in offset order
// wins, and a repeat of a claim whose reply was lost is void. The numbers have
// gaps, but they grow even when the log has dropped all former records of the
// stream, because offsets do: no history and no snapshots are needed, and
// nothing is appended to keep an epoch known. A claim of an epoch above its own
// offset plus one is malformed and ignored.
//
// # Targets that check the fencing number
//
// Such a target refuses an order of an epoch lower than one it has seen. The
// controller sends under its epoch, also while the log is down. A refusal
// (status 409) tells that it was superseded: it stops, and reads the stream
// again after a while.
//
// What is left: a target that forgets the number it has seen when it restarts
// takes an order of a controller that is cut off from the log, until the
// controller in office has sent its next one. If the log itself was set up anew,
// so that offsets begin at 0 again, targets refuse every epoch until they are
// restarted; the state dump shows the refusals.
//
// # Targets that ignore it
//
// A target is taken to ignore the number unless both its service's setting
// checks_fencing and its own state say that it checks. To such targets orders
// are sent only inside a lease. The controller appends a Lease record when it
// has something to order. The lease begins when the append was sent, on the
// controller's clock, and counts once the record was read back with no newer
// claim before it. A new controller waits from the time when it read its claim
// back for the longest lease named in the stream plus a margin. Any lease record
// that counts lies before that claim, hence was sent before it was read, hence
// has ended after the wait. The margin (leaseMargin) covers clocks of different
// rates and the time that an order spends on its way. An order carries the time
// after which it must not be sent; it lies within the lease, and the adapter
// compares it with the clock directly before the write. So a controller that
// was paused for any time sends nothing after it wakes, and one that is cut off
// from the log stops at the end of its lease.
//
// What is left: a process or machine that is paused between that comparison and
// the write, or a network that holds the bytes for longer than the margin, or a
// clock that stands still while the machine is suspended, can bring an old order
// to a target that does not check. Nothing at the sender can exclude that. The
// controller in office then reads the wrong state at its next read and sends its
// order again: such a target is wrong for seconds, not for good.
//
// # Log outages
//
// Nobody can claim and no lease is renewed. The controller goes on with targets
// that check; for the others it goes on to the end of its lease. Reading states
// goes on in any case.
package orders
