// Package logclient holds the clients of the platform's services: the
// append-only log and the membership list, both over HTTP. It carries out the
// log commands of the core and posts their results as events. It holds no
// policy: it never repeats an append, and it repeats reads only because they
// have no effect.
package logclient
