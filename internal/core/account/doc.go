// Package account decides for which client account a request is served, or why it is
// refused, and when the newest configuration is read for a request whose key is not
// known.
//
// A refusal for a key is final for its caller. It is therefore given only after a read
// of the configuration that began after the request had arrived: the key may have been
// added by a version that this process has not applied yet.
package account
