/** HTTP/1.1 transport for relaying requests and streaming responses without interpreting them. */
@NullMarked
package io.hornbeamfield.net.relay;

import org.jspecify.annotations.NullMarked;
