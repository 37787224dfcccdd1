package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the platform's names of paths, headers and fields, and the texts that its
// operator writes.
var wire = func() (w struct {
	BootVariable, ConfigTopic, ConfigKey, EvacuationKey               string
	StartPath, StopPath, RenewPath, ReportPath, ReadyPath             string
	ServerHeader, TimeoutHeader                                       string
	LeaseEnd, Token, Processed, Wait, Clock, Memory, Estimate, Unkept string
	Host, Prefix                                                      string
	Config                                                            json.RawMessage
	Settings                                                          map[string]any
}) {
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err)
	}
	return w
}()
