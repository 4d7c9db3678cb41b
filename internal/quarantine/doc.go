// Package quarantine tells requests that end the backend servers that run them from those
// that only stood beside one.
package quarantine
