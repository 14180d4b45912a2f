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

// File keeps the last list on disk, replaced as a whole.
type File struct {
	Path string
}

type kept struct {
	Version    string          `json:"version"`
	At         time.Time       `json:"at"`
	Assignment json.RawMessage `json:"assignment"`
}

// Load reads the list, nil if there is none.
func (f *File) Load() (version string, at time.Time, a *endpointv3.ClusterLoadAssignment, err error) {
	raw, err := os.ReadFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", time.Time{}, nil, nil
	} else if err != nil {
		return "", time.Time{}, nil, fmt.Errorf("kept list: %w", err)
	}
	var k kept
	a = &endpointv3.ClusterLoadAssignment{}
	if err := json.Unmarshal(raw, &k); err != nil {
		return "", time.Time{}, nil, fmt.Errorf("kept list %s: %w", f.Path, err)
	}
	if err := protojson.Unmarshal(k.Assignment, a); err != nil {
		return "", time.Time{}, nil, fmt.Errorf("kept list %s: %w", f.Path, err)
	}
	return k.Version, k.At, a, nil
}

// besideSuffix marks files that a list is written to before it replaces the old one.
const besideSuffix = ".new-"

// Store replaces the list: written to the side, flushed to disk, then renamed over the old one.
func (f *File) Store(version string, at time.Time, a *endpointv3.ClusterLoadAssignment) error {
	text, err := protojson.Marshal(a)
	if err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	raw, err := json.Marshal(kept{version, at, text})
	if err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	if err := f.replace(raw); err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	return nil
}

// replace puts a new text in the place of the file's.
func (f *File) replace(text []byte) error {
	beside, err := os.CreateTemp(filepath.Dir(f.Path), filepath.Base(f.Path)+besideSuffix+"*")
	if err != nil {
		return err
	}
	defer os.Remove(beside.Name()) // does nothing once it is renamed
	_, err = beside.Write(text)
	if err = errors.Join(err, beside.Sync(), beside.Close()); err != nil {
		return err
	}
	if err := os.Rename(beside.Name(), f.Path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(f.Path))
}

// syncFolder has the names in a folder outlast a crash of the machine.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Clean removes what a process that was killed left half written beside the list.
func (f *File) Clean() error {
	left, err := filepath.Glob(f.Path + besideSuffix + "*")
	for _, name := range left {
		err = errors.Join(err, os.Remove(name))
	}
	return err
}
