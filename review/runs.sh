#!/usr/bin/env bash
# Runs the script of a case five times with its disruption and once without, and prints how each run ended.
# Usage: review/runs.sh N
cd "$(dirname "$0")/.."
for i in 1 2 3 4 5; do
  "review/$1/run.sh" > /dev/null 2>&1
  echo "case $1 run $i: exit $?"
done
TROUBLE=0 "review/$1/run.sh" > /dev/null 2>&1
echo "case $1 without the disruption: exit $?"
"review/$1/run.sh" > /dev/null 2>&1
echo "case $1 run 6, whose record.txt is kept: exit $?"
