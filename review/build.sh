#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it after the build of the deploy file, which
# places the project's own stand-ins into target/pomelohollow.jar.
set -e
cd "$(dirname "$0")/.."
test -f target/pomelohollow.jar
mkdir -p target/review
javac --release 17 -encoding UTF-8 -cp target/pomelohollow.jar -d target/review review/*.java
