#!/bin/sh
# Prepended to the program's JAR file; runs java with this file as the JAR.
java=${JAVA_HOME:+$JAVA_HOME/bin/}java
exec "$java" ${POMELOHOLLOW_JAVA_OPTS:--Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=4} -jar "$0" "$@"
exit 127
