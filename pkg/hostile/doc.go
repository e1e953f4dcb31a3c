// Package hostile tests a host against clients and servers that send what they should not. Its tests start processes and
// measure their memory; `make test` runs them one at a time, after all others.
package hostile
