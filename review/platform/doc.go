// Package platform is a stand-in of the users' platform for the scripts of the review: its
// store, its workers, and the settings and the configuration that it gives to a process. It
// follows the users' protocol page, is written for the review and shares no code with the
// project.
package platform
