#!/usr/bin/env bash
# Fails when a source file isn't as the formatter writes it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '/generated/' | xargs -r -P "$(nproc)" -n 20 clang-format --dry-run -Werror
echo "format: clean"
