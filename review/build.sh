#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
#
# The stand-ins of the review's scripts are Python (review/lib/standin.py, standard library only), so
# there is nothing to compile. This checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "lib"); import standin'
echo "the stand-ins load; they need nothing built"
