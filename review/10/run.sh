#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/fescuespar" ] && [ -x "$root/target/stage2" ] || exit 2
exec "$root/target/stage2" prefix "$root" "$here"
