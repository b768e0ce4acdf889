// Package software decides which version of a service's software began a stream that a
// caller resumes, at a process that never saw the stream and also after all processes were
// killed.
//
// Of each service the processes share one record in the table service: the base version, and
// whether streams of other versions have begun beside it. A stream of the base version needs
// no row. A stream of any other version gets one before its first event is passed on. So a
// stream without a row is of the base version, and a service whose servers all have one
// version costs nothing for each stream.
//
// The load is a release: two versions serve side by side for a while, the old one leaves, and
// all processes may be killed at any moment, upon which callers resume their streams.
package software
