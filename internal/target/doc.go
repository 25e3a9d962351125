// Package target carries out the core's commands towards targets: model
// engines, tool services and plain services. It holds no policy.
//
// # One send
//
// StartRun sends its request once. The HTTP transport must not repeat it, so
// the request's body cannot be rewound, and a gate at the connection lets the
// bytes of one request pass to one connection only. The gate also checks
// NotAfter directly before the first byte is written, and it is what tells
// RunNotSent (no byte was written) from the failures after which the call may
// have run. A not-repeatable call uses a connection of its own: on a connection
// that was used before, the target's closing it looks like a lost answer.
//
// A pause of the process between the check of NotAfter and the system call that
// writes cannot be excluded: NotAfter bounds when a request is sent as long as
// the process runs, and nothing that must be safe may rest on it.
//
// # How a failure is classified
//
//   - No byte of the request was written: RunNotSent.
//   - A model engine answers 429 or 503: RunNotSent. Other 4xx are answers, but
//     for 409, which is RunFenced. Any other status is RunBroken.
//   - A tool or plain service answers with any status: RunOK, the status is its
//     answer. Only an application/problem+json with the member "outcome" of
//     value "not-run" and a status of 429 or 503 is RunNotSent.
//   - After a send: RunCancelled if CancelRun ended it, RunTimeout if the
//     timeout passed, else RunBroken.
//   - A ResumeRun never ends as RunNotSent, since the run itself was sent.
package target
