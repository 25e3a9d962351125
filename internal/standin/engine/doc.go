// Package engine is the stand-in of a model engine. It has two layers.
//
// Model simulates a continuous-batching engine with a bounded prefix cache. It is
// deterministic and uses no I/O, goroutines, clock or randomness. A benchmark
// drives it with a virtual clock:
//
//	for {
//		submit the requests that arrived by now
//		now += model.StepDuration() // plans the step
//		submit the requests that arrived since; they join the following step
//		result := model.Step()
//	}
//
// Server drives a Model in real time behind the HTTP protocol of
// internal/wire, and adds lagging load reports, delayed cache events with gaps
// and duplicates, and faults.
//
// Simplifications: running sequences use no memory of the prefix cache, and a
// program's prompt is assumed to extend what is cached for the program.
package engine
