package owner

import "github.com/banyanglade/banyanglade/internal/structs"

// logEvent writes a line about the shard to the log of the instance.
func (s *shard) logEvent(message string, other structs.InstanceID) {
	s.o.emit(structs.Note{Message: message, Shard: s.ref, Epoch: s.epoch, Other: other})
}

// logEvent writes a line about a program.
func (p *program) logEvent(message string, reason structs.Reason) {
	p.shard.o.emit(structs.Note{
		Message: message, Shard: p.shard.ref, Epoch: p.shard.epoch,
		Program: p.id, Team: p.team, Reason: reason,
	})
}

// logEvent writes a line about an earlier owner's run whose outcome is settled now.
func (r *recovery) logEvent(message string) {
	p := r.prog
	p.shard.o.emit(structs.Note{
		Message: message, Shard: p.shard.ref, Epoch: p.shard.epoch, Program: p.id, Team: p.team,
		Lane: r.run.Lane, Number: r.run.Number, Run: r.run.Run, Target: r.run.Target,
	})
}
