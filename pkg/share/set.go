package share

import (
	"iter"
	"math/bits"
)

// wordBits is the number of bits in a word of a ShardSet.
const wordBits = 64

// WordsPerSet is the number of words that hold the bits of a ShardSet.
const WordsPerSet = Shards / wordBits

// ShardSet is an immutable set of shards. The zero value is an empty set.
type ShardSet struct {
	words *[WordsPerSet]uint64
}

// SetOf returns the set of the given shards.
func SetOf(shards ...Shard) ShardSet {
	words := new([WordsPerSet]uint64)
	for _, shard := range shards {
		words[shard/wordBits%WordsPerSet] |= 1 << (shard % wordBits)
	}
	return ShardSet{
		words: words,
	}
}

// SetFromWords returns the set with the given bits. The lowest bit of the first
// word stands for shard 0.
func SetFromWords(words [WordsPerSet]uint64) ShardSet {
	return ShardSet{
		words: &words,
	}
}

// Words returns the bits of the set. The lowest bit of the first word stands
// for shard 0.
func (s ShardSet) Words() [WordsPerSet]uint64 {
	if s.words == nil {
		return [WordsPerSet]uint64{}
	}
	return *s.words
}

// Has reports whether the set contains the shard.
func (s ShardSet) Has(shard Shard) bool {
	if s.words == nil || shard >= Shards {
		return false
	}
	return s.words[shard/wordBits]>>(shard%wordBits)&1 == 1
}

// Len returns the number of shards in the set.
func (s ShardSet) Len() int {
	if s.words == nil {
		return 0
	}
	n := 0
	for _, w := range s.words {
		n += bits.OnesCount64(w)
	}
	return n
}

// All returns an iterator over the shards of the set in increasing order.
func (s ShardSet) All() iter.Seq[Shard] {
	return func(yield func(Shard) bool) {
		if s.words == nil {
			return
		}
		for i, w := range s.words {
			for ; w != 0; w &= w - 1 {
				if !yield(Shard(i*wordBits + bits.TrailingZeros64(w))) {
					return
				}
			}
		}
	}
}
