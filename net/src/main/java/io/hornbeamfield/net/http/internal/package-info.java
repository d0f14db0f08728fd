/** Implementation of the HTTP server and client with Grizzly. */
@NullMarked
package io.hornbeamfield.net.http.internal;

import org.jspecify.annotations.NullMarked;
