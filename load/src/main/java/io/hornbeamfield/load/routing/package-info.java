/** Replay of traces over a small model of engines, to compare the choices of a backend server. */
@NullMarked
package io.hornbeamfield.load.routing;

import org.jspecify.annotations.NullMarked;
