#!/usr/bin/env bash
# See claim.txt. Exit status: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case" 4
