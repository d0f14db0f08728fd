package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.EventStreamParser;
import io.hornbeamfield.net.http.StreamListener;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * Passes what one connection receives to its attempt, on the executor of the request. What arrives after the attempt
 * moved to another connection, or ended, is dropped.
 */
final class EngineConnection implements StreamListener {
    private final ModelAttempt attempt;
    private final int number;
    private final Executor executor;
    private final EventStreamParser parser;
    private final Queue<EngineEvent> received = new ArrayDeque<>();

    EngineConnection(ModelAttempt attempt, int number, Executor executor) {
        this.attempt = attempt;
        this.number = number;
        this.executor = executor;
        this.parser = new EventStreamParser((name, data) -> received.add(EngineEvent.parse(data)));
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        run(() -> attempt.head(status));
    }

    @Override
    public void onData(byte[] chunk) {
        run(() -> {
            boolean readable = read(chunk);
            while (!received.isEmpty() && attempt.isCurrent(number)) {
                attempt.event(received.remove());
            }
            if (!readable && attempt.isCurrent(number)) {
                attempt.broken(new CallFailure(CallFailure.Kind.BROKEN, "The engine sent an event that is not JSON."));
            }
        });
    }

    private boolean read(byte[] chunk) {
        try {
            parser.feed(chunk);
            return true;
        } catch (UncheckedIOException | IllegalStateException e) {
            return false;
        }
    }

    @Override
    public void onEnd() {
        run(() -> attempt.broken(new CallFailure(CallFailure.Kind.BROKEN, "The engine's stream ended too early.")));
    }

    @Override
    public void onFailure(CallFailure failure) {
        run(() -> attempt.broken(failure));
    }

    private void run(Runnable action) {
        executor.execute(() -> {
            if (attempt.isCurrent(number)) {
                action.run();
            }
        });
    }
}
