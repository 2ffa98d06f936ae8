// Package soak runs gateways as processes and injures them at random, while callers check what the pages promise.
//
//	go test ./test/soak -soak.seeds 50            fresh seeds, printed
//	go test ./test/soak -soak.seed 7              one seed again
//	go test ./test/soak -soak.gateways 40         a larger deployment
package soak
