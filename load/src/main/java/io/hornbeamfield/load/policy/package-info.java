/** Replay of traces over the budget policies in simulated time. */
@NullMarked
package io.hornbeamfield.load.policy;

import org.jspecify.annotations.NullMarked;
