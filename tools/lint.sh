#!/usr/bin/env bash
# Runs clang-tidy on all sources of a build folder that was built before. Results are cached by the
# content of each source and of the project's headers that it includes, because one run over
# everything takes minutes. BOOST_LEAF_CHECK expands to a GNU statement expression, which g++ takes as
# a marked extension.
set -euo pipefail
build=${1:?usage: lint.sh BUILD_FOLDER}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/tamarack-lint
mkdir -p "$cache"
root=$PWD
settings=$(sha256sum .clang-tidy tools/lint.sh)
export build cache root settings

# Prints one line for each source: the source and the project's headers it includes.
dependencies() {
    ninja -C "$build" -t deps | awk -v root="$root/" '
        /^[^ ]/ { if (line != "") print line; line = ""; next }
        NF { path = $1; if (index(path, root) == 1) path = substr(path, length(root) + 1)
             sub(/^(\.\.\/)+/, "", path)
             if (path !~ /^\// && path !~ /generated/ && path !~ /^usr\//) line = line " " path }
        END { if (line != "") print line }'
}

check() {
    read -r -a files <<<"$1"
    # The build folder may still know files that were removed.
    for file in "${files[@]}"; do
        [ -e "$file" ] || return 0
    done
    stamp=$cache/$(cat "${files[@]}" <(echo "$settings ${files[0]}") | sha256sum | cut -c1-32)
    [ -e "$stamp" ] && return 0
    if output=$(clang-tidy -p "$build" --quiet --extra-arg=-Wno-gnu-statement-expression \
        "${files[0]}" 2>/dev/null); then
        touch "$stamp"
    else
        echo "$output"
        return 1
    fi
}
export -f check
dependencies | sort -u | xargs -P "${LINT_JOBS:-$(nproc)}" -d '\n' -I{} bash -c 'check "{}"'
