#!/bin/sh
# The stand-ins of the cases need the standard library alone: there is nothing to fetch. They are compiled here,
# with the interpreter that the build of the deploy file has set up.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
