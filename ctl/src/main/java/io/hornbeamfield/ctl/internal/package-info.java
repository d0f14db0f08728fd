/** Commands of hornbeamctl and their access to the platform. */
@NullMarked
package io.hornbeamfield.ctl.internal;

import org.jspecify.annotations.NullMarked;
