#!/usr/bin/env bash
# Shows the case of claim.txt; see review/REPORT.md. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case.sh" 5
