/** Transport, platform access, settings, logs and metrics. */
@NullMarked
package io.hornbeamfield.net;

import org.jspecify.annotations.NullMarked;
