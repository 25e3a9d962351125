package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxResponse is the maximum size of a response body in bytes.
const maxResponse = 64 << 20

// getJSON fetches and decodes a JSON document.
func getJSON(client *http.Client, url string, value any) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", url, response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(value)
}

// readMetrics fetches the metrics of an instance, summed over their labels.
func readMetrics(client *http.Client, server string) (map[string]float64, error) {
	response, err := client.Get(server + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return nil, err
	}
	return parseMetrics(string(text)), nil
}

// parseMetrics parses the Prometheus text format and sums each metric over its
// labels.
func parseMetrics(text string) map[string]float64 {
	sums := make(map[string]float64)
	for _, line := range strings.Split(text, "\n") {
		if line == "" || line[0] == '#' {
			continue
		}
		cut := strings.LastIndexByte(line, ' ')
		if cut < 0 {
			continue
		}
		name, _, _ := strings.Cut(line[:cut], "{")
		value, err := strconv.ParseFloat(line[cut+1:], 64)
		if err != nil {
			continue
		}
		sums[name] += value
	}
	return sums
}
