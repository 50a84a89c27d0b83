#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd) || exit 2
program=silent_discovery
. "$here/../run_case.sh"
