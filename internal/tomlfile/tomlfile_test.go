package tomlfile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Prefix string `toml:"prefix"`
	Level  *int   `toml:"level"`
}

type item struct {
	Name  string   `toml:"name"`
	Tags  []string `toml:"tags"`
	Inner []inner  `toml:"inner"`
}

type sample struct {
	Title string        `toml:"title"`
	Wait  time.Duration `toml:"wait"`
	Ratio float64       `toml:"ratio"`
	On    bool          `toml:"on"`
	Size  int64         `toml:"size"`
	Table *item         `toml:"table"`
	Items []item        `toml:"item"`
}

func TestDecodeFillsEveryKind(t *testing.T) {
	doc := Parse("f.toml", []byte(`
title = """
first
[[item]]
"""
wait = "1m30s"
ratio = 2
on = true
size = 7
[table]
name = "t"
[[item]]
name = "a"
tags = ["x", "y"]
[[item]]
[[item.inner]]
prefix = "/p"
level = 3
`))
	got := sample{Table: &item{Tags: []string{"default"}}}
	doc.Decode(&got)
	require.NoError(t, doc.Err())
	level := 3
	require.Equal(t, sample{
		Title: "first\n[[item]]\n", Wait: 90 * time.Second, Ratio: 2, On: true, Size: 7,
		Table: &item{Name: "t", Tags: []string{"default"}},
		Items: []item{
			{Name: "a", Tags: []string{"x", "y"}},
			{Inner: []inner{{Prefix: "/p", Level: &level}}},
		},
	}, got)
	require.True(t, doc.Has("item[1].inner[0].level"))
	require.False(t, doc.Has("item[0].inner"))
	require.Equal(t, 18, doc.Line("item[1].inner[0].level"))
}

func TestEveryProblemIsReportedWithItsLine(t *testing.T) {
	doc := Parse("f.toml", []byte(`titel = "x"
wait = 5
ratio = "half"
on = 1
size = 1.5
[table]
name = ["a"]
[[item]]
tags = "x"
[[item]]
[[item.inner]]
prefix = 1979-05-27
levle = 1
`))
	var got sample
	doc.Decode(&got)
	doc.Report("table.name", "a second problem of one key is left out")
	require.EqualError(t, doc.Err(), `f.toml:1: titel: unknown key; allowed here: item, on, ratio, size, table, title, wait
f.toml:2: wait: must be a duration in quotes such as "500ms", "2s" or "1h30m", not an integer
f.toml:3: ratio: must be a number, not a string
f.toml:4: on: must be true or false, not an integer
f.toml:5: size: must be an integer, not a float
f.toml:7: table.name: must be a string, not a list
f.toml:9: item[0].tags: must be a list, not a string
f.toml:12: item[1].inner[0].prefix: must be a string, not a date or time
f.toml:13: item[1].inner[0].levle: unknown key; allowed here: level, prefix`)
}

func TestSyntaxErrorHasItsLine(t *testing.T) {
	doc := Parse("f.toml", []byte("title = \"x\"\nwait = \n"))
	require.ErrorContains(t, doc.Err(), "f.toml:2: ")
	require.NotContains(t, doc.Err().Error(), "\n")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[item]]\nname = 1\n[item.inner]\n"))
	f.Add([]byte("item = [{name = \"a\"}]\ntitle = '''\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc := Parse("f.toml", data)
		var got sample
		doc.Decode(&got)
		_ = doc.Err()
	})
}
