#!/bin/sh
# TROUBLE=0 plays the same without the disruption. Writes record.txt beside this file.
exec "$(dirname "$0")/../stand_ins_2/run_case.sh" "$(dirname "$0")"
