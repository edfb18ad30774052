#!/bin/sh
# Usage: review/run_case.sh N. Runs the script of a case with the packages of the build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=".:src:target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 "review/$1/run.py"
