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
	tmp, err := os.CreateTemp(filepath.Dir(f.Path), filepath.Base(f.Path)+".*")
	if err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	defer os.Remove(tmp.Name()) // does nothing once it is renamed
	_, err = tmp.Write(raw)
	err = errors.Join(err, tmp.Sync(), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), f.Path)
	}
	if err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	return nil
}
