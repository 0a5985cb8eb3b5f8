#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripted cases. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.cases"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../target/review/cases .
