#!/usr/bin/env bash
# One model runner sends line ends without end in the bodies of its answers; the other runners are sound.
cd "$(dirname "$0")/../.."
exec java -cp review/target/classes EndlessAnswer review/2
