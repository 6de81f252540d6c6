#!/bin/sh
# Launcher in front of the archive that follows it in this file.
java=${JAVA_HOME:+$JAVA_HOME/bin/}java
exec "$java" ${POMELOHOLLOW_JAVA_OPTS:--Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=4} -jar "$0" "$@"
exit 127
