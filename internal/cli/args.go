package cli

import (
	"context"
	"fmt"
)

// Args defines the commands of the command line.
type Args struct {
	Run      *RunCommand      `arg:"subcommand:run" help:"run an instance"`
	Edge     *EdgeCommand     `arg:"subcommand:edge" help:"run an instance on the users' platform"`
	Settings *SettingsCommand `arg:"subcommand:settings" help:"read, check and change the settings"`
	Programs *ProgramsCommand `arg:"subcommand:programs" help:"list, show and cancel programs"`
	Status   *StatusCommand   `arg:"subcommand:status" help:"tell whether an instance is healthy and ready"`
	Dump     *DumpCommand     `arg:"subcommand:dump" help:"print the state of an instance as JSON"`
	Drain    *DrainCommand    `arg:"subcommand:drain" help:"shut an instance down gracefully"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"tell the story of a request or program from logs"`
	Version  *VersionCommand  `arg:"subcommand:version" help:"print the version"`
}

// Description returns the introduction of the help text.
func (Args) Description() string {
	return "banyanglade schedules the calls of agent programs onto model engines, tool\n" +
		"services and plain services."
}

// Epilogue returns the closing lines of the help text.
func (Args) Epilogue() string {
	return "Each flag can be given as an environment variable too. The client commands\n" +
		"talk to any instance: give --server or BANYANGLADE_SERVER, and an operator's\n" +
		"key in BANYANGLADE_KEY.\n\n" +
		"Exit codes: 0 success, 1 failure or refusal, 2 wrong usage."
}

// SettingsCommand groups the settings commands.
type SettingsCommand struct {
	Get     *SettingsGet     `arg:"subcommand:get" help:"show the settings at and below a path"`
	Set     *SettingsSet     `arg:"subcommand:set" help:"change or remove one setting"`
	History *SettingsHistory `arg:"subcommand:history" help:"show the last changes at and below a path"`
	Check   *SettingsCheck   `arg:"subcommand:check" help:"check a settings file without an instance"`
	Publish *SettingsPublish `arg:"subcommand:publish" help:"check a settings file and publish what differs"`
	Applied *SettingsApplied `arg:"subcommand:applied" help:"show which instance has applied which settings"`
}

// ProgramsCommand groups the program commands.
type ProgramsCommand struct {
	List   *ProgramsList   `arg:"subcommand:list" help:"list the programs of the region"`
	Show   *ProgramsShow   `arg:"subcommand:show" help:"show one program"`
	Cancel *ProgramsCancel `arg:"subcommand:cancel" help:"cancel one program and what it has running"`
}

// VersionCommand prints the version.
type VersionCommand struct{}

func (*VersionCommand) execute(_ context.Context, p *Program) error {
	_, err := fmt.Fprintln(p.Out, programName, p.Version)
	return err
}
