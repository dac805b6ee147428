package emulator

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary has the words that answers consist of.
var vocabulary = strings.Fields(`amber anchor apple autumn barley basket beacon
bridge bright brook candle canvas cedar chalk cherry circle clover copper coral
cotton cradle crystal daisy dawn drift early ember falcon feather fern field
flint forest garden ginger granite harbour hazel honey island ivory jasmine
juniper kettle lantern laurel lemon linen maple meadow mellow mirror morning
north olive orchard paper pebble pepper pine quiet river saffron silver`)

// Token returns the token at index i of model's answer to prompt. It is a pure
// function of its arguments.
func Token(model, prompt string, i int) string {
	return tokenAt(seed(model, prompt), i)
}

// Text returns the first n tokens of model's answer to prompt.
func Text(model, prompt string, n int) string {
	return textRange(seed(model, prompt), 0, n)
}

func seed(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt)
}

func tokenAt(seed uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))] + " "
}

// textRange returns the tokens with indexes from up to but not including to.
func textRange(seed uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenAt(seed, i))
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// PrefixBlocks returns the identifiers of the blocks of prompt in the engine's
// cache, one for each complete block of BlockTokens tokens. The identifier of a
// block is the xxhash of the model, a zero byte, and the prompt up to the end of
// the block.
func PrefixBlocks(model, prompt string) []uint64 {
	const size = BlockTokens * TokenBytes
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00")
	blocks := make([]uint64, 0, len(prompt)/size)
	for len(prompt) >= size {
		_, _ = d.WriteString(prompt[:size])
		blocks = append(blocks, d.Sum64())
		prompt = prompt[size:]
	}
	return blocks
}
