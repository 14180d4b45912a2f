package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/encoding/protojson"
)

// File stores the last list on disk. The file is always replaced as a whole.
type File struct {
	Path string
}

// storedList is the content of the file.
type storedList struct {
	Version    string          `json:"version"`
	At         time.Time       `json:"at"`
	Assignment json.RawMessage `json:"assignment"`
}

// Load reads the list; the assignment is nil if there is no file.
func (file *File) Load() (version string, at time.Time, assignment *endpointv3.ClusterLoadAssignment, err error) {
	raw, err := os.ReadFile(file.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", time.Time{}, nil, nil
	} else if err != nil {
		return "", time.Time{}, nil, fmt.Errorf("stored list: %w", err)
	}
	var stored storedList
	assignment = &endpointv3.ClusterLoadAssignment{}
	if err := json.Unmarshal(raw, &stored); err != nil {
		return "", time.Time{}, nil, fmt.Errorf("stored list %s: %w", file.Path, err)
	}
	if err := protojson.Unmarshal(stored.Assignment, assignment); err != nil {
		return "", time.Time{}, nil, fmt.Errorf("stored list %s: %w", file.Path, err)
	}
	return stored.Version, stored.At, assignment, nil
}

// temporarySuffix marks the temporary files to which a list is written before it replaces the old one.
const temporarySuffix = ".new-"

// Store replaces the list: it writes a temporary file, flushes it to disk and renames it over the old one.
func (file *File) Store(version string, at time.Time, assignment *endpointv3.ClusterLoadAssignment) error {
	text, err := protojson.Marshal(assignment)
	if err != nil {
		return fmt.Errorf("store list: %w", err)
	}
	raw, err := json.Marshal(storedList{version, at, text})
	if err != nil {
		return fmt.Errorf("store list: %w", err)
	}
	if err := file.replace(raw); err != nil {
		return fmt.Errorf("store list: %w", err)
	}
	return nil
}

// replace atomically replaces the content of the file.
func (file *File) replace(text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(file.Path), filepath.Base(file.Path)+temporarySuffix+"*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name()) // fails without effect after the rename
	_, err = temporary.Write(text)
	if err = errors.Join(err, temporary.Sync(), temporary.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary.Name(), file.Path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(file.Path))
}

// syncDirectory makes changes of names in a directory survive a crash of the machine.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// RemoveTemporary removes temporary files that a killed process has left beside the list.
func (file *File) RemoveTemporary() error {
	leftovers, err := filepath.Glob(file.Path + temporarySuffix + "*")
	for _, name := range leftovers {
		err = errors.Join(err, os.Remove(name))
	}
	return err
}
