#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out. Needs the build of
# deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/limpetd ] && [ -x target/review/standin ] || exit 2
exec target/review/standin slow-runner review/5
