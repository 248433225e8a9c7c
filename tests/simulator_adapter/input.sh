#!/bin/sh
# Checks that the adapter exits with status 0 at the end of input. If a frame is malformed, the adapter must exit with
# status 1 and print exactly one line to standard error.
set -u
adapter="$1"
failed=0

# expect NAME STATUS INPUT: runs the adapter on INPUT, a printf format, and expects the exit status and as many lines on
# standard error.
expect() {
  message=$(printf "$3" | "$adapter" 2>&1 >/dev/null)
  status=$?
  lines=$(printf '%s' "$message" | grep -c '')
  expected_lines=$2
  if [ "$status" -ne "$2" ] || [ "$lines" -ne "$expected_lines" ]; then
    echo "FAIL $1: exit status $status, expected $2; standard error: $message"
    failed=1
  else
    echo "ok $1: $message"
  fi
}

expect "no input" 0 ''
expect "empty batch" 0 '\0\0\0\0\0\0\0\0\020\0\0\0\0\0\0\0'
expect "header cut short" 1 '\0\0\0\0\0\0\0\0\020\0'
expect "frame cut short" 1 '\0\0\0\0\0\0\0\0\040\0\0\0\01\0\0\0\07'
expect "huge length, no bytes" 1 '\0\0\0\0\0\0\0\0\377\377\377\377\01\0\0\0'
expect "length under the header" 1 '\0\0\0\0\0\0\0\0\04\0\0\0\0\0\0\0'
expect "records past the frame" 1 '\0\0\0\0\0\0\0\0\020\0\0\0\01\0\0\0'
expect "unknown event code" 1 '\0\0\0\0\0\0\0\0\025\0\0\0\01\0\0\0\077\0\0\0\0'
expect "instance never opened" 1 '\0\0\0\0\0\0\0\0\035\0\0\0\01\0\0\0\07\03\0\0\0\01\0\0\0\0\0\0\0'
exit $failed
