// Package misfit remembers which workers have no room for fillers of an image, so that a
// backlog of fillers isn't compared with every worker over and over.
package misfit
