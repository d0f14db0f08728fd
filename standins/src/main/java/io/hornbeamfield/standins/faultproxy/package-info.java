/** TCP proxy with named links whose faults tests control. */
@NullMarked
package io.hornbeamfield.standins.faultproxy;

import org.jspecify.annotations.NullMarked;
