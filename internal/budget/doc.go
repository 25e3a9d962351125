// Package budget keeps what programs may generate within their budgets, over
// the loss of any instance and over outages of the platform's store.
//
// # Owners
//
// Programs are spread over the partitions of a topic in the store. A partition
// has one owner at a time, which hands out room: a turn asks it before it is
// sent to a target and settles afterwards what the caller received. An owner
// claims its partition by a record under a higher epoch, on the condition that
// nothing was written since it read the partition. From then on the store
// refuses the writes of every earlier owner.
//
// # The invariant
//
// Each account has a limit that its owner never passes:
//
//	used + leased <= limit
//
// and the limit is what any later owner counts as used if it learns nothing
// better. A limit is either recorded in the store before room under it is
// handed out, or it is the part of the budget that needs no record (limits.go).
// So an owner that is paused, cut off or dead may go on with what it has: all of
// it is counted already. No clock and no lease decides what is safe.
//
// An owner that leaves hands its accounts over, once, to one other instance,
// and stops before it sends them. That instance continues with exact figures
// and the same limits. If the handover may have been lost, nobody continues:
// the next claim counts the limits.
//
// # What a loss costs
//
// A slice of each budget needs no record, which lets programs run while the store
// is away and spares it a record for most of them. When accounts are lost, all
// slices that owners before may have handed out are charged to every program
// without a record, also to those that begin later, since an owner that was taken
// for dead may serve them too; to one with a record, those since its record. The
// new owner hands out the next slice (limits.go). How many slices are gone stands
// in the claim, so that a chain of losses hands out falling slices whose sum stays
// within the budget. Behind the last slice each turn that needs room needs a
// record. A charged program's total may reach the budget and the most of one turn,
// though what it really generated never passes that. The charge ends when the
// former owner is known to have ended and no program that it knew can come back;
// the partition is then claimed anew, with all slices.
package budget
