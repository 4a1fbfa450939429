// Package proof holds the tests of the whole system under failure.
//
// Real nodes run over the stand-ins for the platform in virtual time. Every link of a process can be cut,
// delayed or made to lose replies, and every process killed or paused. An oracle compares what the
// stand-ins saw with the promises of the system.
package proof
