package document

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// Parse reads a document from TOML and checks it as every reader does: keys
// that this program does not know are ignored, they may come from a newer one.
func Parse(text string) (*Document, error) {
	d, _, err := decode(text)
	if err != nil {
		return nil, err
	}
	return d, nil
}

// Check is Parse as the publisher does it: an unknown key is an error too.
func Check(text string) (*Document, error) {
	d, meta, err := decode(text)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("document: unknown key %s", unknown[0])
	}
	return d, nil
}

func decode(text string) (*Document, toml.MetaData, error) {
	var d Document
	meta, err := toml.Decode(text, &d)
	if err != nil {
		return nil, meta, fmt.Errorf("document: %w", err)
	}
	return &d, meta, nil
}
