/** HTTP/1.1 server and client API, implemented with Grizzly. */
@NullMarked
package io.hornbeamfield.net.http;

import org.jspecify.annotations.NullMarked;
