// Package load drives real instances beside stand-in targets with synthetic
// programs and measures what callers see: program latency and slowdown, time
// to first token, time between tokens, refusals, wasted cache, and what
// control costs each instance. It is bounded in time and count, uses loopback
// only, and is no part of the product.
package load
