#!/usr/bin/env bash
# Runs clang-tidy on all sources of a completed build. A run over all sources takes minutes, so passed
# checks are cached by the content of the source and of the project headers that it includes.
# -Wno-gnu-statement-expression is needed because BOOST_LEAF_CHECK expands to a GNU statement
# expression, which g++ accepts because it is marked as an extension.
set -euo pipefail
build=${1:?usage: lint.sh BUILD_FOLDER}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/tamarack-lint
mkdir -p "$cache"
root=$PWD
config_digest=$(sha256sum .clang-tidy tools/lint.sh)
export build cache root config_digest

# Prints one line per source: the source and the project headers that it includes.
dependencies() {
    ninja -C "$build" -t deps | awk -v root="$root/" '
        /^[^ ]/ { if (line != "") print line; line = ""; next }
        NF { path = $1; if (index(path, root) == 1) path = substr(path, length(root) + 1)
             sub(/^(\.\.\/)+/, "", path)
             if (path !~ /^\// && path !~ /generated/ && path !~ /^usr\//) line = line " " path }
        END { if (line != "") print line }'
}

lint_source() {
    read -r -a files <<<"$1"
    # The build may still list files that have been deleted.
    for file in "${files[@]}"; do
        [ -e "$file" ] || return 0
    done
    stamp=$cache/$(cat "${files[@]}" <(echo "$config_digest ${files[0]}") | sha256sum | cut -c1-32)
    [ -e "$stamp" ] && return 0
    if output=$(clang-tidy -p "$build" --quiet --extra-arg=-Wno-gnu-statement-expression \
        "${files[0]}" 2>/dev/null); then
        touch "$stamp"
    else
        echo "$output"
        return 1
    fi
}
export -f lint_source
dependencies | sort -u | xargs -P "${LINT_JOBS:-$(nproc)}" -d '\n' -I{} bash -c 'lint_source "{}"'
