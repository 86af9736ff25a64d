package share

import (
	"iter"
	"math/bits"
)

const wordBits = 64

// WordsPerSet is the number of words that a ShardSet's bits fill.
const WordsPerSet = Shards / wordBits

// ShardSet is an immutable set of shards. The zero value is empty.
type ShardSet struct {
	words *[WordsPerSet]uint64
}

// SetOf returns the set of the given shards.
func SetOf(shards ...Shard) ShardSet {
	words := new([WordsPerSet]uint64)
	for _, h := range shards {
		words[h/wordBits%WordsPerSet] |= 1 << (h % wordBits)
	}
	return ShardSet{
		words: words,
	}
}

// SetFromWords returns the set whose bits are given, lowest shard first.
func SetFromWords(words [WordsPerSet]uint64) ShardSet {
	return ShardSet{
		words: &words,
	}
}

// Words returns the set's bits, lowest shard first.
func (s ShardSet) Words() [WordsPerSet]uint64 {
	if s.words == nil {
		return [WordsPerSet]uint64{}
	}
	return *s.words
}

// Has reports whether the shard is in the set.
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

// All yields the shards of the set in order.
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
