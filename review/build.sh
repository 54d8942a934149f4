#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node.js in review/, which need no build.
cd "$(dirname "$0")/.." && test -f target/gateway.cjs
