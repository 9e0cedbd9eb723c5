#!/bin/bash
# Runs the stand-in program $2 for the case in folder $1, and turns its end into the exit code of the case.
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
rm -f "$folder/record.txt"
timeout -k 3 112 java -Dslf4j.provider=org.slf4j.nop.NOPServiceProvider -cp review/build:target/linenring.jar "$2" "$folder" \
    2>"$folder/error.txt"
code=$?
if [ $code = 0 ] && grep -q " HELD$" "$folder/record.txt"; then
    result=0
elif [ $code = 1 ] && grep -q " BROKEN: " "$folder/record.txt"; then
    result=1
else
    cat "$folder/error.txt" >&2
    result=2
fi
rm -f "$folder/error.txt"
exit $result
