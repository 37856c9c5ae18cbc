#!/bin/sh
# Builds the program and the class-data archive that halves its start; everything lands under target/.
set -eu
mvn -q -DskipTests -Dktlint.skip -Ddetekt.skip package
mkdir -p target
cp kumquatknot-app/target/kumquatknot.jar target/kumquatknot.jar
KUMQUATKNOT_NODE_FILE=deploy/archive.conf java -Xmx194m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -XX:ArchiveClassesAtExit=target/kumquatknot.jsa -jar target/kumquatknot.jar node --preload --exit-after 2 \
    > target/archive.log 2>&1
test -f target/kumquatknot.jsa
