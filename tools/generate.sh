#!/usr/bin/env bash
# Writes the generated code under protocol/ again. Needs protoc (Debian's protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
for api in platform engine gateway operator plain; do
	go tool ogen --clean --config tools/ogen.yaml --package "${api}api" --target "protocol/${api}api" "protocol/openapi/${api}.yaml"
done
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --proto_path=protocol/proto \
	--go_out=. --go_opt=module=github.com/basilroute/basilroute \
	--go-grpc_out=. --go-grpc_opt=module=github.com/basilroute/basilroute protocol/proto/*.proto
