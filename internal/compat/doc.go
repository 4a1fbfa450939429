// Package compat checks that this build reads what earlier builds stored or sent, and writes the same bytes.
package compat
