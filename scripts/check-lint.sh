#!/usr/bin/env bash
# Runs the linter over every source file of the build in the folder named first. Further arguments
# limit it to those files. A file that was found clean before isn't linted again while nothing that the
# linter reads has changed (lint-keys.sh); LINT_CACHE names the folder of such keys, LINT_JOBS how many run
# at once.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '/generated/')
fi
stamp=$(mktemp)
trap 'rm -f "$stamp"' EXIT
export folder stamp cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/fuchsialoom-lint}
mkdir -p "$cache"
find "$cache" -type f -mtime +30 -delete

declare -A keys
while read -r key file; do
    keys[$file]=$key
done < <(scripts/lint-keys.sh "$folder")

# What was edited since the keys were taken may have been linted with other text than its key says.
unedited() {
    local newer
    newer=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' '*.clang-tidy' | xargs bash -c 'find "$@" -newer "$stamp"' find) && [ -z "$newer" ]
}
lint_one() {
    clang-tidy -p "$folder" --quiet "$2" 2>/dev/null
    if [ "$1" != none ] && unedited; then
        touch "$cache/$1"
    fi
}
export -f unedited lint_one

left=()
for file in "${files[@]}"; do
    key=${keys[$(realpath "$file")]:-none}
    if [ "$key" != none ] && [ -e "$cache/$key" ]; then
        touch "$cache/$key"
    else
        left+=("$key" "$file")
    fi
done
if [ ${#left[@]} -gt 0 ]; then
    printf '%s\n' "${left[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 bash -euc 'lint_one "$@"' lint
fi
echo "lint: clean, ${#files[@]} files, $((${#left[@]} / 2)) of them linted now"
