#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd) || exit 2
# With TROUBLE=0 the case runs without its disruption: discovery stays in reach. The program reads this variable.
TROUBLE=${TROUBLE:-1}
export TROUBLE
program=silent_discovery
. "$here/../run_case.sh"
