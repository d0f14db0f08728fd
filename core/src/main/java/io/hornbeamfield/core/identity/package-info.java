/** Idempotency keys of requests, and the registry that runs each keyed request at most once. */
@NullMarked
package io.hornbeamfield.core.identity;

import org.jspecify.annotations.NullMarked;
