/** Simulated plain service that records each run of a call. */
@NullMarked
package io.hornbeamfield.standins.service;

import org.jspecify.annotations.NullMarked;
