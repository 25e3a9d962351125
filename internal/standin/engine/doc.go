// Package engine is the stand-in of a model engine. It has two layers.
//
// Model is a pure model of a continuous-batching engine with a bounded prefix
// cache: values in, values out, no I/O, goroutine, clock or randomness. A
// benchmark drives it with a virtual clock:
//
//	for {
//		submit what has arrived by now
//		now += model.StepDuration() // plans the step
//		submit what has arrived meanwhile; it joins the step after
//		result := model.Step()
//	}
//
// Server drives a Model in real time behind the HTTP protocol of
// internal/wire, and adds what makes a real engine hard to schedule: lagging
// load reports, late cache events with gaps and duplicates, and faults.
//
// Simplifications of the model: the memory of running sequences is apart from
// the prefix cache, and a program's prompt is taken to extend what is cached
// for it.
package engine
