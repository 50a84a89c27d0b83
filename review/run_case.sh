# Runs a case's program, for the run.sh of the case, which sets `here` (its folder) and `program`. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run. The program ends itself after 118 s at the latest,
# and the router, its child, is killed with it.
cd "$here/../.." || exit 2
if [ ! -x build/ashbeam ] || [ ! -x "review/bin/$program" ]; then
  echo "build the router by the deploy file's line 'build', then run review/build.sh" >&2
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
pid=
cleanup() {
  [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null
  rm -rf "$CASE_TMP"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
"review/bin/$program" "$here/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
for log in "$CASE_TMP"/*.log; do
  [ -f "$log" ] && { echo; echo "The log of router $(basename "$log" .log):"; cat "$log"; } >> "$here/record.txt"
done
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
