// Package systemtest contains system tests with fault injection.
//
// Real nodes run in virtual time against simulated platform services. The tests partition or delay the links
// of node processes, drop replies, and kill or pause processes. A test oracle checks what the simulated
// services observed against the guarantees of the system.
package systemtest
