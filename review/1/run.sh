#!/usr/bin/env bash
# Streams that may be resumed while a runner crashes and another one fails a part of its requests.
cd "$(dirname "$0")/../.."
exec java -cp review/target/classes ResumedStreams review/1
