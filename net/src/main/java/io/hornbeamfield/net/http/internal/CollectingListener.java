package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.core.attempt.InputAllowance;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.http.StreamListener;
import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Buffers a streamed response and completes a future with the whole of it. */
final class CollectingListener implements StreamListener, BufferPool.Holder {
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    /** Bounds the number of parts to some thousands. */
    private static final int PART_COST_BYTES = 1_024;

    private final InputAllowance allowance = new InputAllowance(MAX_BYTES, PART_COST_BYTES);
    private final CompletableFuture<HttpReply> future;
    private final ReplyBuffers buffers;
    private final Clock clock;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile int collectedBytes;
    private volatile boolean released;
    private int status;
    private long headMs;
    private Map<String, String> headers = Map.of();

    CollectingListener(CompletableFuture<HttpReply> future, ReplyBuffers buffers, Clock clock) {
        this.future = future;
        this.buffers = buffers;
        this.clock = clock;
    }

    @Override
    public void onHead(int code, Map<String, String> fields) {
        status = code;
        headMs = clock.millis();
        headers = fields;
    }

    @Override
    public void onData(byte[] chunk) {
        if (released) {
            return;
        }
        if (allowance.charge(chunk.length)) {
            body.writeBytes(chunk);
            collectedBytes = body.size();
            buffers.grown(chunk.length);
        } else {
            future.completeExceptionally(new CallFailure(
                    CallFailure.Kind.BROKEN,
                    "The response exceeds " + MAX_BYTES + " bytes, with " + PART_COST_BYTES + " more for each part."));
        }
    }

    @Override
    public long bufferedBytes() {
        return collectedBytes;
    }

    @Override
    public void release() {
        released = true;
        buffers.fail(
                future,
                new CallFailure(
                        CallFailure.Kind.BROKEN,
                        "The responses of all calls occupy too much memory, and this one the most."));
    }

    @Override
    public void onEnd() {
        if (released) {
            return;
        }
        future.complete(new HttpReply(status, headers, body.toByteArray(), clock.millis() - headMs));
    }

    @Override
    public void onFailure(CallFailure failure) {
        future.completeExceptionally(failure);
    }
}
