package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpReply;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Bounds the memory of all replies that a client collects at the same time. Thread-safe. */
final class ReplyBuffers {
    private final BufferPool pool;
    private final Executor executor;

    /** Creates buffers of the given size; calls are ended on the executor. */
    ReplyBuffers(long limitBytes, Executor executor) {
        this.pool = new BufferPool(limitBytes);
        this.executor = executor;
    }

    synchronized void add(CollectingListener reply) {
        pool.add(reply);
    }

    synchronized void remove(CollectingListener reply) {
        pool.remove(reply);
    }

    synchronized void grown(int bytes) {
        pool.grown(bytes);
    }

    /** Fails a call later: its end needs the lock of its exchange, and the caller holds that of another one. */
    void fail(CompletableFuture<HttpReply> call, CallFailure failure) {
        executor.execute(() -> call.completeExceptionally(failure));
    }
}
