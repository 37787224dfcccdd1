package document

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// Parse reads a document from TOML.
func Parse(text string) (*Document, error) {
	var d Document
	if _, err := toml.Decode(text, &d); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return &d, nil
}
