package main

import (
	_ "embed" // for the files of names and configurations
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// names has the names of headers and topics on the platform's wire.
var names = mustParseNames(wireFile)

// wireNames are the names that the stand-ins use.
type wireNames struct {
	ID, Deadline, Instance, Expect, Seal, NotExecuted, Load string
	Tokens, Prefix, Model, Pieces, PieceKey, Last           string
	// Operator and Workers are topics of the store.
	Operator, Workers string
	// WarmupLeft is a field of the entries of workers.
	WarmupLeft string
}

func mustParseNames(data []byte) wireNames {
	var n wireNames
	if err := json.Unmarshal(data, &n); err != nil {
		panic(err) // Unreachable: the file is part of the program.
	}
	return n
}

// The operator's configurations. The second version takes a key away and adds a route; in its
// ordered form, the stages of the new route stand in the order in which they run.
var (
	//go:embed config-1.json
	firstConfig []byte
	//go:embed config-2.json
	secondConfig []byte
	//go:embed config-2-ordered.json
	orderedConfig []byte
)

// Names in the configurations.
const (
	hostname      = "demo.example"
	serviceDesk   = "desk"
	serviceEngine = "engine"
	serviceEncode = "encode"
	serviceRank   = "rank"
	pathCharge    = "/charge/"
	pathLookup    = "/lookup/"
	pathQuery     = "/query/"
	pathDraft     = "/draft/"
	pathLetter    = "/letter/"
	keyNorth      = "north-key"
	keyOld        = "south-old-key"
)
