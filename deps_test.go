package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pkg/errors"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/stretchr/testify/require"
	_ "pgregory.net/rapid"
)
