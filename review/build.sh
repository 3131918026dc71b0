#!/bin/sh
# The stand-ins of the cases, the project's own (tests/process/platform_standin.py) included, are
# Python and need no build. The programs come from the build command of deploy/system.toml.
exit 0
