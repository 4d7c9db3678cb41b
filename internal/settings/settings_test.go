package settings

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Load(file)
		require.NoError(t, err, file)
	}
}
