/** Metrics of a process and their JSON rendering. */
@NullMarked
package io.hornbeamfield.net.metrics;

import org.jspecify.annotations.NullMarked;
