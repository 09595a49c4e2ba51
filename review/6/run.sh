#!/usr/bin/env bash
# Runs the case with the built host of the deploy file. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")"
exec python3 -B run.py
