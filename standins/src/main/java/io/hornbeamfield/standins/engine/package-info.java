/** Simulated model engine with continuous batching. */
@NullMarked
package io.hornbeamfield.standins.engine;

import org.jspecify.annotations.NullMarked;
