package coordinator

// vectorChunk is the number of elements that are copied when one changes.
const vectorChunk = 64

// vector is a persistent array. Changing an element with the method with copies the
// list of chunks and one chunk, and shares all others. A step on a fleet of n hosts so
// copies about n/64 pointers and 64 elements rather than n elements.
type vector[T any] struct {
	chunks []*[vectorChunk]T
	size   int
}

func newVector[T any](size int) vector[T] {
	v := vector[T]{chunks: make([]*[vectorChunk]T, (size+vectorChunk-1)/vectorChunk), size: size}
	for i := range v.chunks {
		v.chunks[i] = new([vectorChunk]T)
	}
	return v
}

func (v vector[T]) at(i int) T { return v.chunks[i/vectorChunk][i%vectorChunk] }

// set changes an element in place. It may be used only on a vector that is not yet
// shared.
func (v vector[T]) set(i int, value T) { v.chunks[i/vectorChunk][i%vectorChunk] = value }

// with returns a vector whose element i is value. v is unchanged.
func (v vector[T]) with(i int, value T) vector[T] {
	chunks := make([]*[vectorChunk]T, len(v.chunks))
	copy(chunks, v.chunks)
	chunk := *chunks[i/vectorChunk]
	chunk[i%vectorChunk] = value
	chunks[i/vectorChunk] = &chunk
	v.chunks = chunks
	return v
}
