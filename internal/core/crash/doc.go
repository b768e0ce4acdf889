// Package crash recognises requests that crash the backend servers on which
// they run, by a fingerprint of the request.
//
// A server's death makes every fingerprint that was in flight there a suspect.
// A suspect runs next only as a trial: one copy at a time over all entry VMs,
// on a server where no other suspect runs, after every live entry process
// allowed it. A trial that ends cleanly clears its fingerprint. A trial whose
// server dies convicts it and clears the other suspects of the same deaths.
// Three or more servers that die together are an outage and convict nobody.
//
// Nothing here is safe for concurrent use; a table guards it.
package crash
