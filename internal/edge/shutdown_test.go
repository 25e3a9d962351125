package edge

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/banyanglade/banyanglade/platform"
)

// A hangup that comes while the settings file is read must not end the process.
func TestEarlyHangupDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	ended := make(chan error, 1)
	go func() { ended <- Run(t.Context(), Options{}, io.Discard) }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the reader
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(file, "no settings"); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("malformed settings are accepted")
	}
}
