// Package budget limits the tokens that programs generate to their budgets, across
// crashes of any instance and outages of the platform's store.
//
// # Owners
//
// Programs are hashed to the partitions of a topic in the store. Each partition has
// one owner at a time. A turn reserves tokens at the owner before it is sent to a target,
// and settles the reservation afterwards with what the caller received. An owner
// claims its partition by appending a record under a higher epoch, on the condition
// that nothing was written since it read the partition. The store then rejects the
// writes of all earlier owners.
//
// # The invariant
//
// Each account has a limit that its owner never exceeds:
//
//	used + leased <= limit
//
// A later owner without better information counts the limit as used. The limit is
// either recorded in the store before tokens under it are allocated, or it is the part
// of the budget that needs no record (limits.go). An owner that is paused, partitioned
// or dead may therefore use up its limit: all of it is counted already. Safety depends
// on no clock and no time-based lease.
//
// An owner that shuts down hands its accounts over, once, to one other instance, and
// stops allocating before it sends them. That instance continues with exact counts and
// the same limits. If the handover may have been lost, nobody continues and the next
// claim counts the limits.
//
// # Crashes
//
// A slice of each budget needs no record, so programs run while the store is
// unavailable and most never need a record. After a crash the accounts are lost. The
// slices that all crashed owners may have allocated are charged to every program
// without a record, including programs that start later, since an owner that was
// presumed dead may still serve them. A program with a record is charged the slices
// since its record. The new owner allocates the next slice (limits.go). The claim
// holds the number of crashes, so a series of crashes allocates decreasing slices
// whose sum stays within the budget. After the last slice each turn that does not fit
// the limit needs a record. The charged total of a program may reach the budget plus
// one turn; the tokens it generated never exceed that. The charge ends once all former
// owners are known to have ended and no program that they knew can return. The claim
// holds these owners and the longest times of turns and programs. The partition is then
// claimed anew, with all slices.
package budget
