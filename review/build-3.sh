#!/bin/sh
# Builds the stand-ins of the third review's scripts with the JDK alone, under target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all,-serial -d target/review-3 review/standin-3/*.java
