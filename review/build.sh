#!/bin/sh
# Builds the stand-ins of the cases. The project itself is built by the line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/rig"
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/review-rig .
