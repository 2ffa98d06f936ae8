// Package quota decides which calls of an organisation may be sent while the number of its calls is limited. All gateways share
// one quota: the hub issues a permit for each call, and a gateway without the hub issues permits from a small part of the quota.
//
// The decisions answer the load of an organisation that sends several times its quota in programs of many calls each. A program
// has value only if it completes, so calls are granted to programs that have begun, and programs that do not fit are refused at
// their first call. An organisation that stays within its quota on average is not refused, although its programs send their calls
// in bursts. The package sends no messages and reads no clock.
package quota
