package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.StreamListener;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Passes a response to a listener on an executor and ends it if too much of it waits for the executor. */
final class QueuedListener implements StreamListener {
    private static final int MAX_WAITING_BYTES = 2 * 1024 * 1024;

    /** Memory of a queued part beside its bytes. */
    private static final int PART_COST_BYTES = 64;

    private final Executor executor;
    private final StreamListener listener;
    private final AtomicInteger waitingBytes = new AtomicInteger();
    private Consumer<CallFailure> endResponse = failure -> {};

    QueuedListener(Executor executor, StreamListener listener) {
        this.executor = executor;
        this.listener = listener;
    }

    /** Sets what ends the response. */
    void onOverrun(Consumer<CallFailure> action) {
        endResponse = action;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        executor.execute(() -> listener.onHead(status, headers));
    }

    @Override
    public void onData(byte[] chunk) {
        int cost = chunk.length + PART_COST_BYTES;
        if (waitingBytes.addAndGet(cost) > MAX_WAITING_BYTES) {
            endResponse.accept(new CallFailure(
                    CallFailure.Kind.BROKEN,
                    "The response arrives faster than it is handled: more than " + MAX_WAITING_BYTES + " bytes wait."));
            return;
        }
        executor.execute(() -> {
            waitingBytes.addAndGet(-cost);
            listener.onData(chunk);
        });
    }

    @Override
    public void onEnd() {
        executor.execute(listener::onEnd);
    }

    @Override
    public void onFailure(CallFailure failure) {
        executor.execute(() -> listener.onFailure(failure));
    }
}
