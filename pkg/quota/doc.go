// Package quota splits the request quotas of teams over all entry instances.
//
// Each instance's part follows the demand that instances exchange in
// heartbeats. As far as the views of the instances agree, the parts of a team
// sum to its quota. An instance that hears only h of n instances splits h/n of
// the quota among them, so that the sides of a partition together stay within
// it; one that hears nobody takes the quota over the largest number of
// instances it has known.
//
// Book makes the decisions and belongs to the control actor. Gate holds the
// token buckets of the traffic goroutines.
package quota
