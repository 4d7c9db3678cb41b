package engine

import (
	"container/list"
	"encoding/binary"

	"lukechampine.com/blake3"
)

// blockWords is how many words of a prompt make one block of the prefix cache.
const blockWords = 16

// blockKey names a block: a hash of its words and of all blocks before it.
type blockKey uint64

// blocksOf returns the keys of the full blocks of a prompt.
func blocksOf(words []string) []blockKey {
	var keys []blockKey
	key := blockKey(0)
	for len(words) >= blockWords {
		key = nextKey(key, words[:blockWords])
		keys = append(keys, key)
		words = words[blockWords:]
	}
	return keys
}

// nextKey is the first 8 bytes, big-endian, of BLAKE3 over the key of the
// block before (8 bytes, big-endian) and each word with a zero byte after it.
func nextKey(before blockKey, words []string) blockKey {
	input := binary.BigEndian.AppendUint64(nil, uint64(before))
	for _, word := range words {
		input = append(input, word...)
		input = append(input, 0)
	}
	sum := blake3.Sum256(input)
	return blockKey(binary.BigEndian.Uint64(sum[:]))
}

// prefixCache holds the blocks of prompts seen lately, at most capacity of
// them; the least recently used one goes first.
type prefixCache struct {
	capacity int
	order    *list.List // of blockKey, most recently used first
	blocks   map[blockKey]*list.Element
	changed  func(stored bool, key blockKey)
}

func newPrefixCache(capacity int, changed func(stored bool, key blockKey)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		blocks:   make(map[blockKey]*list.Element),
		changed:  changed,
	}
}

// match returns how many of the first blocks are held, and uses them.
func (c *prefixCache) match(keys []blockKey) int {
	for i, key := range keys {
		element := c.blocks[key]
		if element == nil {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(keys)
}

// put stores the blocks. The last block of a prefix is the first to go.
func (c *prefixCache) put(keys []blockKey) {
	for i := len(keys) - 1; i >= 0; i-- {
		c.putOne(keys[i])
	}
}

func (c *prefixCache) putOne(key blockKey) {
	if element := c.blocks[key]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[key] = c.order.PushFront(key)
	c.changed(true, key)
	if c.order.Len() > c.capacity {
		c.drop(c.order.Back())
	}
}

// clear drops every block.
func (c *prefixCache) clear() {
	for c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
}

func (c *prefixCache) drop(element *list.Element) {
	key := element.Value.(blockKey)
	c.order.Remove(element)
	delete(c.blocks, key)
	c.changed(false, key)
}
