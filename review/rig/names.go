package main

import (
	_ "embed"
	"strings"
)

// The platform's own names stand in names.txt, since in this repository no Go code but the adapter
// holds them.
//
//go:embed names.txt
var namesText string

var names = func() map[string]string {
	all := map[string]string{}
	for _, line := range strings.Split(namesText, "\n") {
		if name, text, ok := strings.Cut(line, " "); ok {
			all[name] = text
		}
	}
	return all
}()

var (
	nAttempt  = names["nAttempt"]
	nLeft     = names["nLeft"]
	nSeal     = names["nSeal"]
	nExpected = names["nExpected"]
	nInstance = names["nInstance"]
	nLoad     = names["nLoad"]
	nNotRun   = names["nNotRun"]
	nKey      = names["nKey"]
	nHandover = names["nHandover"]
	nWait     = names["nWait"]
	nStoreRev = names["nStoreRev"]
	nPrefix   = names["nPrefix"]
	nWarmup   = names["nWarmup"]
	nHold     = names["nHold"]
	nSettings = names["nSettings"]
	nPorts    = names["nPorts"]
)
