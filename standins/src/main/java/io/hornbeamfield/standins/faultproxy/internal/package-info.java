/** Implementation of the fault proxy. */
@NullMarked
package io.hornbeamfield.standins.faultproxy.internal;

import org.jspecify.annotations.NullMarked;
