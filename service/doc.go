// Package service defines the documents that configure the fleet: one for each service,
// one for each client account, and one for the fleet. It decodes and checks them and sets
// defaults. A valid document is accepted by an acknowledged compare-and-swap on the
// platform's store.
package service
