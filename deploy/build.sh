#!/bin/sh
# Builds the program and the class-data archive that halves its start; everything lands under target/.
# Files are replaced by renaming: a process that still runs from the former ones would fail on files changed in place.
set -eu
mvn -q -DskipTests -Dktlint.skip -Ddetekt.skip package
mkdir -p target
cp kumquatknot-app/target/kumquatknot.jar target/kumquatknot.jar.new
mv target/kumquatknot.jar.new target/kumquatknot.jar
rm -f target/kumquatknot.jsa.new
KUMQUATKNOT_NODE_FILE=deploy/archive.conf java -Xmx194m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -XX:ArchiveClassesAtExit=target/kumquatknot.jsa.new -jar target/kumquatknot.jar node --preload --exit-after 2 \
    > target/archive.log 2>&1
mv target/kumquatknot.jsa.new target/kumquatknot.jsa
