#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for program in review/standin-3/case-*.c; do
	# shellcheck disable=SC2046
	cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wno-unused-parameter \
	    -o "$out/$(basename "$program" .c)" "$program" \
	    review/standin-3/cell.c review/standin-3/minion.c \
	    review/standin-3/proxy.c review/standin-3/web.c \
	    $(pkg-config --cflags --libs glib-2.0 libevent jansson)
done
