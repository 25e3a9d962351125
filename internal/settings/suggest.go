package settings

// maxSuggestDistance is the maximum edit distance of a suggestion.
const maxSuggestDistance = 3

// closestName returns the known name with the smallest edit distance to name, false if
// none is close.
func closestName(name string, known []string) (string, bool) {
	if len(name) > MaxSegmentBytes {
		return "", false
	}
	best, bestDistance := "", maxSuggestDistance+1
	for _, candidate := range known {
		if d := editDistance(name, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best, best != "" && bestDistance < len(best)
}

// editDistance returns the Levenshtein distance of two short strings.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
