// Package storeversion combines the era of the platform's store with the numbers it issues into
// versions that increase across restores. A store restored from a backup issues numbers again; its
// era, which increases with each restore, distinguishes them.
package storeversion

// eraStride exceeds the count of versions that a store issues in one era. A power of ten keeps both
// parts readable in logs; an int64 holds nine million eras.
const eraStride = 1_000_000_000_000

// New returns the version for a number that the store issued in an era.
func New(era, number int64) int64 { return era*eraStride + number }

// Era returns the era in which a version was issued.
func Era(version int64) int64 { return version / eraStride }

// IsRestored reports whether the store has been restored before or in an era. Eras count from 0.
func IsRestored(era int64) bool { return era > 0 }

// Number returns the number that the store issued for a version.
func Number(version int64) int64 { return version % eraStride }
