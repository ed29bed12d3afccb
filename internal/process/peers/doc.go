// Package peers keeps the directory of instances and planners. Its records are in
// one keyed partition of the platform's store, which every instance follows.
package peers
