#!/bin/sh
# Builds the stand-ins of the scripts under review/. It needs only the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-lab ./review/_lab
