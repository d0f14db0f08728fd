/** Counters, timers and gauges of a process. */
@NullMarked
package io.hornbeamfield.net.metrics;

import org.jspecify.annotations.NullMarked;
