#!/bin/sh
# Compiles the stand-ins and the cases; needs the JDK alone. Everything lands under review/build.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -nowarn -d build standin/review/*.java
