#!/usr/bin/env bash
# Builds the stand-ins of the third review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in brittle3 leave3 crowd3; do
  rustc --edition 2024 -O -o "target/review/$name" "review/$name.rs"
done
