package standin

import (
	"strconv"
	"strings"
)

// checkpointPrefix starts the name of every checkpoint that a stand-in makes.
const checkpointPrefix = "at-"

// checkpointName returns the name of a checkpoint that holds a share of the work, from 0 to 1.
func checkpointName(progress float64) string {
	return checkpointPrefix + strconv.FormatFloat(progress, 'f', 6, 64)
}

// progressOf returns the share of the work that a checkpoint holds, 0 for none.
func progressOf(checkpoint string) float64 {
	progress, err := strconv.ParseFloat(strings.TrimPrefix(checkpoint, checkpointPrefix), 64)
	if err != nil {
		return 0
	}
	return progress
}
