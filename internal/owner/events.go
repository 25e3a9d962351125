package owner

import "github.com/banyanglade/banyanglade/internal/structs"

// logEvent logs an event of the shard.
func (s *shard) logEvent(message string, other structs.InstanceID) {
	s.o.emit(structs.Note{Message: message, Shard: s.ref, Epoch: s.epoch, Other: other})
}

// logEvent logs an event of the program.
func (p *program) logEvent(message string, reason structs.Reason) {
	p.shard.o.emit(structs.Note{
		Message: message, Shard: p.shard.ref, Epoch: p.shard.epoch,
		Program: p.id, Team: p.team, Reason: reason,
	})
}

// logEvent logs the outcome of a previous owner's run.
func (r *recovery) logEvent(message string) {
	p := r.prog
	p.shard.o.emit(structs.Note{
		Message: message, Shard: p.shard.ref, Epoch: p.shard.epoch, Program: p.id, Team: p.team,
		Lane: r.run.Lane, Number: r.run.Number, Run: r.run.Run, Target: r.run.Target,
	})
}
