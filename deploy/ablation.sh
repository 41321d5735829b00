#!/usr/bin/env bash
# Plays days with each mechanism of the decisions switched off in turn, and prints what that changes.
# Run it in a clone that nobody edits meanwhile: it writes the section [experiment] into the settings.
#
#     deploy/ablation.sh BENCH OUT PLAYS [MECHANISM...]
#
# BENCH is the program that plays days. OUT is a folder for its reports; what is there already isn't
# played again. Each line of the file PLAYS names a site file, a day and a seed. Without MECHANISM all
# are switched off, one by one. JOBS plays run at once (4).
set -euo pipefail
bench=$1 out=$2 plays=$3
shift 3
cd "$(dirname "$0")/.."
jobs=${JOBS:-4}
template=platform/settings.ini
before=$(mktemp)
cp "$template" "$before"
trap 'cp "$before" "$template"; rm -f "$before"' EXIT
mkdir -p "$out"

if [ $# -eq 0 ]; then
  mapfile -t all < <(sed -n 's/^    (Mechanism::[A-Za-z]*, "\(.*\)"),$/\1/p' \
    crates/papayamux-coordination/src/mechanism.rs)
  set -- "${all[@]}"
fi

# One play: BENCH OUT MECHANISM SITE DAY SEED.
play() {
  local name
  name=$3.$(basename "$4" .toml).$(basename "$5" .toml).$6
  [ -s "$2/$name.json" ] || "$1" run "$4" "$5" --seed "$6" --no-cpu --jobs 1 \
    --why "ablation: without $3" --report "$2/$name.json" > "$2/$name.log" 2>&1 \
    || echo "$name: exit status $?" >&2
}
export -f play

for mechanism in none "$@"; do
  cp "$before" "$template"
  [ "$mechanism" = none ] || printf '[experiment]\ndisable = %s\n' "$mechanism" >> "$template"
  xargs -P "$jobs" -L 1 bash -c 'play "$@"' _ "$bench" "$out" "$mechanism" < "$plays"
done

# The number behind a key of a report.
figure() { grep -o "\"$2\": *-\?[0-9.]*" "$1" | head -1 | sed 's/.*: *//'; }

# One line of figures for each report: mechanism, site, worth, served, late, refused, failed,
# thousands of tokens read again, broken rules.
for report in "$out"/*.json; do
  name=$(basename "$report" .json)
  again=$(grep -o '([0-9]* of shared parts again)' "$report" | tr -dc 0-9 || true)
  broken=$(grep -q '"breaks": *{}' "$report" && echo 0 || echo 1)
  echo "${name%%.*} $(cut -d. -f2 <<< "$name") $(figure "$report" G) $(figure "$report" served)" \
    "$(figure "$report" late) $(figure "$report" refused) $(figure "$report" failed) ${again:-0} $broken"
done | awk '
  { key = $1 " " $2; plays[key]++; broken[key] += $9
    for (field = 3; field <= 8; field++) sum[key, field] += $field
    if (!($2 in seen)) { seen[$2] = 1; sites[++count] = $2 }
    if (!($1 in known) && $1 != "none") { known[$1] = 1; names[++kinds] = $1 } }
  END {
    for (site = 1; site <= count; site++) {
      print "\n### " sites[site] "\n"
      print "| without | plays | worth | served | late | refused | failed | read again, thousands | rules broken |"
      print "|---|---|---|---|---|---|---|---|---|"
      row("none", sites[site])
      for (kind = 1; kind <= kinds; kind++) row(names[kind], sites[site])
    }
  }
  function row(name, site,    key, n) {
    key = name " " site; n = plays[key]
    if (!n) return
    printf "| %s | %d | %.3f | %.3f | %.0f | %.4f | %.4f | %.0f | %d |\n", name, n, \
      sum[key, 3] / n, sum[key, 4] / n, sum[key, 5] / n, sum[key, 6] / n, sum[key, 7] / n, \
      sum[key, 8] / n / 1000, broken[key]
  }'
