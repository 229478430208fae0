#!/usr/bin/env bash
# Validates the example settings and bundles with tamarackd and tamarackctl. Guards against examples that
# the programs no longer accept.
set -euo pipefail
BIN=${1:?usage: e2e-examples.sh BIN_FOLDER}
examples=$(dirname "$0")/../examples
for user in kerbihan lampwatch; do
    "$BIN/tamarackctl" bundle check "$examples/$user/bundle.json"
    "$BIN/tamarackd" --settings "$examples/$user/settings.json" --check-settings
done
