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
	// A crash left a part of the next content aside.
	require.NoError(t, os.WriteFile(path+asideSuffix, []byte("a part of something longer than what follows"), 0o600))
	require.NoError(t, ReplaceFile(path, []byte("second"), 0o600))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "second", string(data))
	require.NoFileExists(t, path+asideSuffix)
}

func TestAFailedWriteLeavesTheOldContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, ReplaceFile(path, []byte("first"), 0o600))
	require.NoError(t, os.Mkdir(path+asideSuffix, 0o700)) // nothing can be written aside
	require.Error(t, ReplaceFile(path, []byte("second"), 0o600))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "first", string(data))
}
