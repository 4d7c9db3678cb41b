package durable

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReplaceFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, ReplaceFile(path, []byte("a longer first content"), 0o600))
	// A crash during an earlier replacement left an incomplete temporary file.
	require.NoError(t, os.WriteFile(path+tempSuffix, []byte("a part of something longer than what follows"), 0o600))
	require.NoError(t, ReplaceFile(path, []byte("second"), 0o600))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "second", string(data))
	require.NoFileExists(t, path+tempSuffix)
}

func TestReplaceFileKeepsOldContentOnWriteError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, ReplaceFile(path, []byte("first"), 0o600))
	require.NoError(t, os.Mkdir(path+tempSuffix, 0o700)) // the temporary file can't be created
	require.Error(t, ReplaceFile(path, []byte("second"), 0o600))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "first", string(data))
}
