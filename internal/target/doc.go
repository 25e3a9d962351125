// Package target executes the core's commands on targets: model engines, tool
// services and plain services. It contains no policy.
//
// # At-most-once send
//
// StartRun sends its request at most once. To keep the HTTP transport from
// retrying, the request's body cannot be rewound, and a gate lets the bytes of a
// request pass to a single connection only. The gate also checks NotAfter directly
// before the first byte is written, and distinguishes RunNotSent (no byte was
// written) from the failures after which the call may have run. A not-repeatable
// call uses a new connection: on a reused one, a connection that the target closed
// while idle is indistinguishable from a lost response.
//
// The process may be paused between the check of NotAfter and the write, so
// NotAfter is best effort and safety must not depend on it.
//
// # Classification of failures
//
//   - No byte of the request was written: RunNotSent.
//   - A model engine responds with 429 or 503: RunNotSent; with 409: RunFenced;
//     with another 4xx: RunOK. Any status but these and 200 is RunBroken.
//   - A tool or plain service responds with any status: RunOK. The exception is
//     an application/problem+json with status 429 or 503 and the member "outcome"
//     set to "not-run", which is RunNotSent.
//   - After the send: RunCancelled if CancelRun ended the run, RunTimeout if its
//     timeout expired, else RunBroken.
//   - A ResumeRun never ends as RunNotSent, since the run itself was sent.
package target
