# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Runs `yardhill check` on ten invalid files, each of which must give a precise error."""
import subprocess
import sys

from golden import HERE, Session
from cluster import YARDHILL


def main():
    session = Session("session_check")
    broken = HERE.parent / "Common/Broken"
    for path in sorted(broken.glob("*.jsonc")):
        result = subprocess.run([YARDHILL, "check", path.name], cwd=broken, text=True,
                                capture_output=True, check=False)
        session.note(f"{result.returncode} {result.stderr.strip()}")
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
