#!/usr/bin/env bash
# Builds the program that plays the cases of the second review, with its stand-ins, into target/.
# It needs no network: the program uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.rig2"
GOWORK=off GOFLAGS=-mod=readonly go build -o ../../target/rig2 .
