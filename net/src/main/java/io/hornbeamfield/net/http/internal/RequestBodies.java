package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.core.attempt.BufferPool;

/** Bounds the memory of the bodies that a server receives at the same time. Thread-safe. */
final class RequestBodies {
    private final BufferPool pool;

    RequestBodies(long limitBytes) {
        this.pool = new BufferPool(limitBytes);
    }

    synchronized void grown(BodyReader body, int bytes) {
        pool.add(body);
        pool.grown(bytes);
    }

    synchronized void remove(BodyReader body) {
        pool.remove(body);
    }
}
