package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.attempt.InputAllowance;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.EventStreamParser;
import io.hornbeamfield.net.http.StreamListener;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;

/**
 * Forwards the events of one connection to its attempt; it is called on the executor of the request. Events that arrive
 * after the attempt has ended or moved to another connection are dropped.
 */
final class EngineStreamListener implements StreamListener {
    /** An engine that sends more than this without a new token sends no stream. */
    private static final int MAX_INPUT_WITHOUT_TOKEN = 512 * 1024;

    private static final int PART_COST_BYTES = 64;

    private final InputAllowance allowance = new InputAllowance(MAX_INPUT_WITHOUT_TOKEN, PART_COST_BYTES);
    private final ModelAttempt attempt;
    private final int connectionNumber;
    private final EventStreamParser parser;
    private final Queue<EngineEvent> received = new ArrayDeque<>();

    EngineStreamListener(ModelAttempt attempt, int connectionNumber) {
        this.attempt = attempt;
        this.connectionNumber = connectionNumber;
        this.parser = new EventStreamParser((name, data) -> received.add(EngineEvent.parse(data)));
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        runIfCurrent(() -> attempt.onHead(status));
    }

    @Override
    public void onData(byte[] chunk) {
        runIfCurrent(() -> {
            long offsetBefore = attempt.nextOffset();
            boolean readable = allowance.charge(chunk.length) && read(chunk);
            while (!received.isEmpty() && attempt.isCurrent(connectionNumber)) {
                attempt.onEvent(received.remove());
            }
            if (attempt.nextOffset() > offsetBefore) {
                allowance.renew();
            }
            if (!readable && attempt.isCurrent(connectionNumber)) {
                attempt.onConnectionLost(new CallFailure(
                        CallFailure.Kind.BROKEN,
                        "The engine sent an event that is not JSON, or too much without a token."));
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
        runIfCurrent(() -> attempt.onConnectionLost(new CallFailure(
                CallFailure.Kind.BROKEN, "The engine ended the stream before the answer was complete.")));
    }

    @Override
    public void onFailure(CallFailure failure) {
        runIfCurrent(() -> attempt.onConnectionLost(failure));
    }

    private void runIfCurrent(Runnable action) {
        if (attempt.isCurrent(connectionNumber)) {
            action.run();
        }
    }
}
