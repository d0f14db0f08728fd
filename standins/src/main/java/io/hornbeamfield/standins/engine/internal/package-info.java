/** Implementation of the simulated model engine. */
@NullMarked
package io.hornbeamfield.standins.engine.internal;

import org.jspecify.annotations.NullMarked;
