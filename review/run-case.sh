#!/bin/sh
# Runs a case: the name of its class, and its folder. Exits with 2 if the case cannot run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/pomelohollow.jar ] || [ ! -f "target/review/$1.class" ]; then
  echo "build by the deploy file and by review/build.sh first"
  exit 2
fi
exec java $JAVA_ARGS -Xmx512m -Dtinylog.level=off -cp target/pomelohollow.jar:target/review "$1" . "$2"
