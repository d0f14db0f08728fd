/** Implementation of the client: address cache, retries, liveness checks and verification of streamed answers. */
@NullMarked
package io.hornbeamfield.client.internal;

import org.jspecify.annotations.NullMarked;
