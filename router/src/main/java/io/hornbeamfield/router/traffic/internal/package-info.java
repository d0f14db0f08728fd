/** Requests, attempts at backend servers, answers and relays. */
@NullMarked
package io.hornbeamfield.router.traffic.internal;

import org.jspecify.annotations.NullMarked;
