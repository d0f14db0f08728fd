/** HTTP server and client over Grizzly. */
@NullMarked
package io.hornbeamfield.net.http;

import org.jspecify.annotations.NullMarked;
