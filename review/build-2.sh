#!/bin/sh
# Builds the stand-ins and case programs of the second review into
# target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target --target httpd logs base >/dev/null
flags="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wno-unused-parameter
    -Ilib/base -Ilib/httpd -Ilib/logs -Itest -Ireview/standin-2
    $(pkg-config --cflags glib-2.0 libevent jansson)"
libs="target/lib/httpd/libhttpd.a target/lib/logs/liblogs.a
    target/lib/base/libbase.a
    $(pkg-config --libs glib-2.0 libevent jansson zlib) -lpthread -lm"
for case in review/*/case-2.c; do
	[ -e "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2086
	${CC:-cc} $flags -o "$out/case-$number" "$case" review/standin-2/cell.c \
	    test/proc.c $libs
done
