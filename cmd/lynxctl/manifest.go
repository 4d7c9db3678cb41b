package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
)

const (
	// defaultChunkSize, in bytes, suits weights of some gigabytes: see
	// docs/operating/weights.md.
	defaultChunkSize = 4 << 20
	// readBufferBytes is how much of the weights file is read at once.
	readBufferBytes = 1 << 20
	// manifestMode lets every user read a manifest: it holds no secret.
	manifestMode = 0o644
)

// manifestCommand writes the manifest of a weights file.
type manifestCommand struct {
	env       *environment
	output    outputFlag
	model     string
	version   string
	chunkSize int64
	file      string
}

func (*manifestCommand) Name() string     { return "manifest" }
func (*manifestCommand) Synopsis() string { return "write the manifest.json of a weights file" }
func (*manifestCommand) Usage() string {
	return `lynxctl manifest -model NAME -version VERSION [flags] WEIGHTS
  Reads the weights file, writes manifest.json and prints the digest that the
  inventory declares. Put both files below the origin as
  NAME/VERSION/manifest.json and NAME/VERSION/weights.
`
}

func (c *manifestCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(c.env, f)
	f.StringVar(&c.model, "model", "", "name of the model")
	f.StringVar(&c.version, "version", "", "version of the model")
	f.Int64Var(&c.chunkSize, "chunk-size", defaultChunkSize, "size of a chunk in bytes")
	f.StringVar(&c.file, "out", "manifest.json", "file to write")
}

// manifestOutput is the JSON output of manifest.
type manifestOutput struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	File     string `json:"file"`
	Manifest string `json:"manifest"`
	Size     int64  `json:"size"`
	Chunks   int    `json:"chunks"`
}

func (c *manifestCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.check(f); err != nil {
		return c.env.badUsage("%v", err)
	}
	out, err := c.write(f.Arg(0))
	if err != nil {
		fmt.Fprintf(c.env.stderr, "lynxctl: %v\n", err)
		return exitFailed
	}
	if err := c.print(out); err != nil {
		return exitFailed
	}
	return exitOK
}

func (c *manifestCommand) check(f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return fmt.Errorf("manifest needs one weights file")
	}
	if !inventory.IsName(c.model) || !inventory.IsName(c.version) {
		return fmt.Errorf("manifest needs -model and -version; allowed: %s", inventory.AllowedName)
	}
	if c.chunkSize < 1 || c.chunkSize > manifest.MaxChunkSize {
		return fmt.Errorf("-chunk-size must be from 1 to %d", manifest.MaxChunkSize)
	}
	return c.output.check()
}

func (c *manifestCommand) write(weights string) (manifestOutput, error) {
	file, err := os.Open(weights)
	if err != nil {
		return manifestOutput{}, fmt.Errorf("open weights: %w", err)
	}
	defer file.Close()
	built, err := manifest.Build(c.model, c.version, bufio.NewReaderSize(file, readBufferBytes), c.chunkSize)
	if err != nil {
		return manifestOutput{}, fmt.Errorf("build manifest of %s: %w", weights, err)
	}
	encoded, err := built.Encode()
	if err != nil {
		return manifestOutput{}, fmt.Errorf("encode manifest of %s: %w", weights, err)
	}
	if err := os.WriteFile(c.file, encoded, manifestMode); err != nil {
		return manifestOutput{}, fmt.Errorf("write manifest: %w", err)
	}
	return manifestOutput{
		Model: c.model, Version: c.version, File: c.file,
		Manifest: manifest.Sum(encoded).String(), Size: built.Size, Chunks: built.Len(),
	}, nil
}

// print shows the digest as the lines of the inventory that declare it.
func (c *manifestCommand) print(out manifestOutput) error {
	if c.output.isJSON() {
		return writeJSON(c.env.stdout, out)
	}
	_, err := fmt.Fprintf(c.env.stdout, `# %s: %d bytes in %d chunks
[[model]]
model    = %q
version  = %q
manifest = %q
origin   = "http://IP:PORT"
`, out.File, out.Size, out.Chunks, out.Model, out.Version, out.Manifest)
	return err
}
