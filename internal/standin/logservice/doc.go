// Package logservice is the stand-in of the platform's append-only log. It
// holds streams of records in memory, drops old records by count and age,
// limits the rate of appends, and injects the faults of wire.LogFaults.
package logservice
