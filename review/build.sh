#!/bin/bash
# Compiles the stand-ins of all cases, after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
rm -rf review/build
mkdir -p review/build
javac -nowarn -cp target/linenring.jar -d review/build review/standins/*.java
