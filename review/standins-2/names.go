package main

import (
	_ "embed"
	"strings"
)

// namesText lists the platform's names of headers and fields, as its pages give them.
//
//go:embed names.txt
var namesText string

// settingsText is the settings file of an entry VM, as the platform writes it.
//
//go:embed settings.txt
var settingsText string

var names = readNames()

func readNames() map[string]string {
	all := map[string]string{}
	for line := range strings.Lines(namesText) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		all[key] = name
	}
	return all
}
