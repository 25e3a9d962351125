// Package load is a load generator for real instances. It runs synthetic
// programs through them against stand-in targets and measures program latency
// and slowdown, time to first token, time between tokens, refusals, wasted
// cache, and the control overhead of each instance. Runs are bounded in time
// and count and use the loopback interface only.
package load
