// Package orders keeps model engines in their desired state: it orders them to
// load a model, an adapter or a version, or to take a role. It has no I/O of
// its own; see Controller.
//
// # Desired state
//
// The settings under services/<name>/orders/ define the desired state of a
// service: model, adapter, version and role. Unset fields are not ordered. The
// controller is level-triggered: every few seconds it reads the state of each
// target of the pool (the service's targets in this region), compares it with
// the desired state, and sends at most one order at a time to a target. An
// order is complete once its value is read back from the target. A new target,
// or one that lost its state in a restart, differs from the desired state and
// gets its orders again. Failures are retried with backoff indefinitely.
// Leaving targets get no orders. At most orders/parallel targets of a pool
// change at once, and loads are orders/interval apart, because the weight store
// is rate-limited. A new controller does not know which targets still load by
// orders of its predecessor, so parallel may be exceeded for the duration of
// one load after a change of controller; interval always holds.
//
// # Epochs
//
// Each pool has one controller. The membership proposes an instance
// (Members.DispatcherOf); the pool's log stream decides. A claim names an epoch
// and is valid if its epoch is greater than that of every earlier claim in the
// stream. An instance is the controller from when it reads its own valid claim
// back until it reads a newer one. The epoch is the fencing number of the
// orders.
//
// The epoch of a claim is the offset up to which its writer had read the
// stream, plus one. Of several writers that read the same prefix, the first in
// offset order therefore wins, and a repeated claim whose reply was lost is
// void. Epochs may skip numbers, but they increase even when the log has
// dropped all earlier records of the stream, because offsets do. No history or
// snapshot is needed, and no record is written only to preserve an epoch. A
// claim with an epoch above its own offset plus one is malformed and ignored.
//
// # Targets that check the fencing number
//
// Such a target rejects orders with an epoch lower than the highest it has
// seen. The controller sends orders under its epoch even while the log is
// unavailable. A rejection (status 409) shows that the controller was
// superseded: it stops and reads the stream again after a backoff.
//
// Known limits: a target that forgets the highest fencing number in a restart
// accepts orders of a controller that is partitioned from the log, until the
// current controller sends its next order. If the log itself is recreated, so
// that offsets restart at 0, targets reject every epoch until they are
// restarted; the state dump shows the rejections.
//
// # Targets that ignore the fencing number
//
// A target counts as checking only if both the service's setting checks_fencing
// and the target's own state say so. All other targets get orders only within a
// lease. The controller appends a Lease record when it has something to order.
// The lease starts when the append is sent, on the controller's clock, and is
// valid once the record is read back with no newer claim before it. After
// reading its claim back, a new controller waits for the longest lease named in
// the stream plus a margin. Any valid lease record precedes the claim, so it
// was sent before the claim was read and expires before the wait ends. The
// margin (leaseMargin) allows for clock drift and for the transit time of an
// order. An order carries the time after which it must not be sent. It lies
// within the lease, and the adapter compares it with the clock directly before
// the write. A controller that was paused therefore sends nothing stale when it
// resumes, and one that is partitioned from the log stops when its lease
// expires.
//
// Known limits: a stale order can still reach a target that does not check if
// the process or machine is paused between that comparison and the write, if
// the network delays the bytes for longer than the margin, or if the clock
// stops while the machine is suspended. The sender cannot prevent this. The
// current controller then reads the wrong state and sends its order again, so
// the target is wrong for seconds only.
//
// # Log outages
//
// During an outage nobody can claim a pool and no lease is renewed. The
// controller continues to order targets that check; the others get orders until
// its lease expires. Reading target states continues.
package orders
