#!/usr/bin/env bash
# Prints, for each source file of the build in the folder named first, a key and the file's path. Equal
# keys mean equal input of the linter: the linter itself, its settings in every folder, the compile
# commands, and every file that the source includes, comments and all. Paths below this folder count
# from it, so that clones have the same keys.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

linter=$(readlink -f "$(command -v clang-tidy)")
{
    ldd "$linter" | awk '$2 == "=>" { print $3 }' | xargs sha256sum "$linter" "$0"
    git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | xargs -n1 dirname | sort -u | while read -r sources; do
        echo "$sources"
        clang-tidy --dump-config "$sources/any.cpp" --
    done
} >"$work/linter"

# CMake writes an entry's command and file on lines of their own.
sed -n 's/^  "command": "\(.*\)",$/\1/p' "$folder/compile_commands.json" >"$work/commands"
sed -n 's/^  "file": "\(.*\)".*$/\1/p' "$folder/compile_commands.json" >"$work/files"
paste "$work/files" "$work/commands" | sort >"$work/entries"
# One rule a line: object: source header... Its program comes with the linter, in the same folder.
"$(dirname "$linter")/clang-scan-deps" -j "$(nproc)" --compilation-database="$folder/compile_commands.json" |
    sed -e ':more' -e '/\\$/{N;s/\\\n//;bmore}' | sort >"$work/rules"
cut -d: -f2- "$work/rules" | tr -s ' ' '\n' | sed '/^$/d' | sort -u | xargs -d '\n' sha256sum >"$work/contents"

mkdir "$work/keys"
awk -v root="$PWD/" -v keys="$work/keys" -v linter="$(sha256sum <"$work/linter")" '
    function own(text) { gsub(root, "", text); return text }
    FILENAME ~ /contents$/ { content[substr($0, 67)] = substr($0, 1, 64); next }
    FILENAME ~ /entries$/ { source = $1; commands[source] = commands[source] own($0) "\n"; next }
    {
        for (i = 2; i <= NF; ++i) {
            included[$2] = included[$2] own($i) " " content[$i] "\n"
        }
    }
    END {
        for (source in commands) {
            # Without its list of files a source has no key.
            if (source in included) {
                name = keys "/" ++count
                print linter "\n" commands[source] included[source] > name
                close(name)
                print name, source
            }
        }
    }' "$work/contents" "$work/entries" "$work/rules" >"$work/names"
(cut -d' ' -f1 "$work/names" | xargs -r sha256sum) | cut -d' ' -f1 | paste -d' ' - <(cut -d' ' -f2- "$work/names")
