#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; they need Python 3.11 only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness review/*/case.py
