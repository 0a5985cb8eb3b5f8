// Package service holds the documents that drive the fleet: one for each
// service, one for each client account, and one for the fleet. It decodes and
// checks them and fills in defaults. A document that passes is accepted by an
// acknowledged compare-and-swap on the platform's store.
package service
