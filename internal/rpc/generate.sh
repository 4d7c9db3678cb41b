#!/bin/sh
# Regenerates the committed Go code from the .proto files in this folder.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
	--go-drpc_out=. --go-drpc_opt=paths=source_relative ./*.proto
