// Package defaulter sets option fields that were left at their zero value to
// their defaults.
package defaulter

// Set assigns value to *field if *field is the zero value of its type.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
