package spool_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/spool"
)

// The reader of standard output stalls. Writers must not block, and lines that exceed
// the buffer must be dropped and counted.
func TestWriteDoesNotBlockWhenReaderStalls(t *testing.T) {
	reader, output := io.Pipe()
	defer func() { _ = reader.Close() }()
	w := &spool.Writer{Output: output}
	go w.Run()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 5000 {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Less(t, time.Since(began), 5*time.Second)
	require.Positive(t, w.Dropped())
	w.Close()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := &spool.Writer{Output: &out}
	go w.Run()
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	w.Close()
	require.Equal(t, "a\nb\nc\n", out.String())
	require.Zero(t, w.Dropped())
}

// Guards against lines that are lost unnoticed when the reader of standard output is gone.
func TestLinesThatOutputRefusesAreCountedAsDropped(t *testing.T) {
	reader, output := io.Pipe()
	require.NoError(t, reader.Close())
	w := &spool.Writer{Output: output}
	go w.Run()
	_, err := w.Write([]byte("a\nb\n"))
	require.NoError(t, err)
	w.Close()
	require.Equal(t, 2, w.Dropped())
}
