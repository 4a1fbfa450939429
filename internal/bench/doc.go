// Package bench measures the request path in virtual time: an open-loop load on real request handlers over
// endpoints in memory.
//
// Its figures are made by a test that is off without the flag -figures:
//
//	go test ./internal/bench -run Figures -figures -load-seed 1 -v
package bench
