#!/bin/sh
# The stand-ins are one Python module of the standard library; there is nothing to compile.
# Checks that the interpreter is there and can read them. Exits with 2 otherwise.
cd "$(dirname "$0")" || exit 2
python3 - standin/sim.py [1-9]/case.py <<'CHECK' || exit 2
import ast, sys
if sys.version_info < (3, 11):
    sys.exit("python 3.11 or newer is needed")
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
CHECK
