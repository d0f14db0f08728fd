package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.EventStreamParser;
import io.hornbeamfield.net.http.StreamListener;
import java.util.Map;
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

    EngineConnection(ModelAttempt attempt, int number, Executor executor) {
        this.attempt = attempt;
        this.number = number;
        this.executor = executor;
        this.parser = new EventStreamParser((name, data) -> {
            if (attempt.isCurrent(number)) {
                attempt.event(EngineEvent.parse(data));
            }
        });
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        run(() -> attempt.head(status));
    }

    @Override
    public void onData(byte[] chunk) {
        run(() -> {
            try {
                parser.feed(chunk);
            } catch (RuntimeException e) {
                attempt.broken(
                        new CallFailure(CallFailure.Kind.BROKEN, "The engine sent an event that is not JSON: " + e));
            }
        });
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
