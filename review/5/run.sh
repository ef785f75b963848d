#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
#
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 115 python3 case.py
