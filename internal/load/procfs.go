package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ), which is 100
// on all Linux systems of this architecture.
const ticksPerSecond = 100

// usage is the resource usage of a process since its start.
type usage struct {
	at time.Time
	// cpu is user and system time, rss is resident memory in bytes.
	cpu time.Duration
	rss int64
	// io is the number of bytes read and written, sockets included.
	io int64
}

// readUsage reads the usage of a process.
func readUsage(pid int) (usage, error) {
	u := usage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Wrap(err, "process")
	}
	if u.cpu, err = parseCPU(string(stat)); err != nil {
		return u, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, errors.Wrap(err, "process")
	}
	if u.rss, err = parseRSS(string(statm)); err != nil {
		return u, err
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, errors.Wrap(err, "process")
	}
	u.io = parseIO(string(io))
	return u, nil
}

var errProcFormat = errors.New("unexpected format of a file in /proc")

// parseCPU returns the user and system time of a stat file. The fields are
// counted after the command name, which is in parentheses and may contain
// spaces.
func parseCPU(stat string) (time.Duration, error) {
	const userField, systemField = 11, 12
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemField {
		return 0, errProcFormat
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, errProcFormat
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// parseRSS returns the resident memory of a statm file in bytes.
func parseRSS(statm string) (int64, error) {
	const residentField = 1
	fields := strings.Fields(statm)
	if len(fields) <= residentField {
		return 0, errProcFormat
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return 0, errProcFormat
	}
	return pages * int64(os.Getpagesize()), nil
}

// parseIO returns the number of bytes read and written of an io file.
func parseIO(io string) int64 {
	var total int64
	for _, line := range strings.Split(io, "\n") {
		name, text, _ := strings.Cut(line, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		value, _ := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		total += value
	}
	return total
}

// LoadAverage returns the one-minute load average of the machine as text.
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
