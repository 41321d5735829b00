#!/usr/bin/env bash
# Writes days with two kinds of trouble at once: COUNT pairs of the files in deploy/days, drawn by
# SEED, into the folder OUT. Files of pairs have a + in their names and are not drawn again.
#
#     deploy/pairs.sh SEED COUNT OUT
set -euo pipefail
seed=$1 count=$2 out=$3
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$out"

entries() { sed -n "s/^$1 = \[\(.*\)\]\$/\1/p" "$2"; }
joined() { printf '%s' "$1${1:+${2:+, }}$2"; }

# The generator of Lehmer, so that a seed gives the same pairs on every machine.
state=$((seed % 2147483647 + 1))
draw() { state=$((state * 48271 % 2147483647)); drawn=$((state % $1)); }

days=()
for day in "$here"/days/*.toml; do
  [[ $day == *+* ]] || days+=("$day")
done
for _ in $(seq "$count"); do
  draw ${#days[@]}; first=${days[$drawn]}
  draw ${#days[@]}; second=${days[$drawn]}
  name=$(basename "$first" .toml)+$(basename "$second" .toml)
  {
    echo "name = \"own-$name\""
    echo 'slot = "trouble"'
    echo "seed = $((4711 + seed))"
    echo "plan = [$(joined "$(entries plan "$first")" "$(entries plan "$second")")]"
    echo "faults = [$(joined "$(entries faults "$first")" "$(entries faults "$second")")]"
  } > "$out/$name.toml"
done
