// Package soak runs gateway processes under random faults and checks what their callers observe against the documented
// guarantees.
//
// Seeds that are no multiple of 4 have organisations with keys and quotas, one of which floods. A ledger checks them while the
// deployment runs. New seeds then run on without faults until lowered quotas bind.
//
//	go test ./test/soak -soak.seeds 50            50 new random seeds, which are printed
//	go test ./test/soak -soak.seed 7              repeat one seed
//	go test ./test/soak -soak.gateways 40         a larger deployment
package soak
