#!/bin/sh
# Builds the stand-ins and the cases into target/review/. Needs the packages of
# deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=$(pkg-config --cflags --libs glib-2.0 libevent jansson)
for source in review/[1-5]/case.c; do
	[ -e "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2086
	${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter \
	    -o "$out/case-$n" "$source" \
	    review/standin/cell.c $flags
done
