// Package bench measures the request path in virtual time. It sends an open-loop load to the real request handlers
// in front of simulated endpoints and compares policies for the choice of an endpoint.
//
// The measurements run in a test that is skipped without the flag -figures:
//
//	go test ./internal/bench -run Figures -figures -load-seed 1 -v
package bench
