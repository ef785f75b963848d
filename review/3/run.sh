#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
#
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
# What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")" || exit 2
: >record.txt || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout -k 4 114 python3 case.py record.txt
code=$?
[ "$code" -eq 10 ] && exit 1
[ "$code" -eq 0 ] && exit 0
echo "could not run: exit code $code" >>record.txt
exit 2
