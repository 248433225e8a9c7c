#!/bin/sh
# The module stays within 1000 non-blank lines over all its files, and no source line is wider than 110 columns.
set -eu
cd "$1"
lines=$(cat src/policy/* | grep -c '[^[:space:]]')
echo "src/policy: $lines non-blank lines of 1000"
[ "$lines" -le 1000 ]
# What the deploy file names is all there is.
for file in src/policy/*; do
  grep -q "^policy = .*\"$file\"" deploy/balancer.toml || { echo "deploy/balancer.toml: policy lacks $file"; exit 1; }
done
wide=$(grep -rnE '^.{111,}$' include src tests --include='*.h' --include='*.cpp' || true)
if [ -n "$wide" ]; then
  echo "wider than 110 columns:"
  echo "$wide"
  exit 1
fi
