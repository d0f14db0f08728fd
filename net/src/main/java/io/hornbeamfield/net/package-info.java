/** Networking, platform client, settings, logging and metrics shared by the processes. */
@NullMarked
package io.hornbeamfield.net;

import org.jspecify.annotations.NullMarked;
