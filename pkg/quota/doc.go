// Package quota splits the request quotas of teams over all entry instances.
//
// Each instance's part follows the demand that the instances exchange in
// heartbeats. As long as the views of the instances agree, the parts of a team
// sum to its quota. An instance that receives heartbeats from only some of the
// instances, so that it counts h of n with itself, splits h/n of the quota among
// them. The sides of a partition together thus stay within the quota. An instance
// that receives none takes the quota divided by the largest number of instances
// that it has known.
//
// Book makes the decisions and is used by the control actor only. Gate holds the
// token buckets, and the goroutines that serve requests use it.
package quota
