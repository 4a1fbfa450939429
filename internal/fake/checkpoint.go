package fake

import (
	"strconv"
	"strings"
)

// checkpointPrefix is the prefix of the names of all checkpoints that a fake worker writes.
const checkpointPrefix = "at-"

// checkpointName returns the name of a checkpoint that holds the given fraction of the work, from 0 to 1.
func checkpointName(progress float64) string {
	return checkpointPrefix + strconv.FormatFloat(progress, 'f', 6, 64)
}

// progressOf returns the fraction of the work that a checkpoint holds, or 0 if the name is not that of a checkpoint.
func progressOf(checkpoint string) float64 {
	progress, err := strconv.ParseFloat(strings.TrimPrefix(checkpoint, checkpointPrefix), 64)
	if err != nil {
		return 0
	}
	return progress
}
