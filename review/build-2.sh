#!/bin/sh
# The stand-ins of cases 6 to 10 (review/standins2) need the standard library alone: they are compiled here, with the
# interpreter that the build of the deploy file has set up. The cases start no stand-in of the project's own.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8
