// Command parsleybarrow is the daemon and the command line of the scheduler.
package main

func main() {}
