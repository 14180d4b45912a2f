#!/bin/sh
# Builds the stand-ins of the cases: one program, with the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go build -o bin/rig ./rig
