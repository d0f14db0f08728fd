/** Measures how state, processor time and message sizes of a router grow with the size of the fleet. */
@NullMarked
package io.hornbeamfield.load.capacity;

import org.jspecify.annotations.NullMarked;
