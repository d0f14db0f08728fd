package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.attempt.InputAllowance;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.http.ResponseStream;
import io.hornbeamfield.net.http.StreamListener;
import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Streams the owner's answer to the caller. While the answer is open, the owner is probed every second, because an open
 * connection to it may go silent. After three consecutive missed probes the owner counts as unreachable.
 */
final class RelayedAnswer implements StreamListener {
    private static final int MAX_MISSED_CHECKS = 2;

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int PART_COST_BYTES = 1_024;

    /** Status sent by a router that is not the incarnation to which the request was relayed. */
    static final int MISDIRECTED = 421;

    private final HttpExchange exchange;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final Supplier<CompletableFuture<Boolean>> ownerLiveness;
    private final Runnable ifUnreachable;
    private final InputAllowance allowance = new InputAllowance(MAX_BODY_BYTES, PART_COST_BYTES);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable OpenStream connection;
    private @Nullable ResponseStream stream;
    private int status;
    private Map<String, String> headers = Map.of();
    private int missedChecks;
    private boolean ended;

    RelayedAnswer(
            HttpExchange exchange,
            Executor executor,
            ScheduledExecutorService timer,
            Supplier<CompletableFuture<Boolean>> ownerLiveness,
            Runnable ifUnreachable) {
        this.exchange = exchange;
        this.executor = executor;
        this.timer = timer;
        this.ownerLiveness = ownerLiveness;
        this.ifUnreachable = ifUnreachable;
    }

    void opened(OpenStream opened) {
        this.connection = opened;
        scheduleLivenessCheck();
    }

    void callerDisconnected() {
        run(() -> end(() -> {}));
    }

    private void scheduleLivenessCheck() {
        timer.schedule(() -> run(this::checkLiveness), 1, TimeUnit.SECONDS);
    }

    private void checkLiveness() {
        ownerLiveness.get().thenAccept(isAlive -> executor.execute(() -> livenessChecked(isAlive)));
    }

    private void livenessChecked(boolean isAlive) {
        missedChecks = isAlive ? 0 : missedChecks + 1;
        if (ended) {
            return;
        }
        if (missedChecks > MAX_MISSED_CHECKS) {
            onConnectionLost();
        } else {
            scheduleLivenessCheck();
        }
    }

    @Override
    public void onHead(int code, Map<String, String> fields) {
        runUnlessEnded(() -> {
            status = code;
            headers = fields;
            if (fields.getOrDefault("content-type", "").startsWith("text/event-stream")) {
                stream = exchange.startStream(code, forwardedHeaders());
            }
        });
    }

    private Map<String, String> forwardedHeaders() {
        Map<String, String> result = new HashMap<>();
        for (String name :
                List.of("Content-Type", "Retry-After", "Cache-Control", CallerHeaders.KEY, CallerHeaders.RUN)) {
            String value = headers.get(name.toLowerCase(java.util.Locale.ROOT));
            if (value != null) {
                result.put(name, value);
            }
        }
        return result;
    }

    @Override
    public void onData(byte[] chunk) {
        runUnlessEnded(() -> {
            ResponseStream s = stream;
            if (s == null && !allowance.charge(chunk.length)) {
                onConnectionLost();
            } else if (s == null) {
                body.writeBytes(chunk);
            } else {
                s.write(chunk);
            }
        });
    }

    @Override
    public void onEnd() {
        runUnlessEnded(() -> {
            ResponseStream s = stream;
            if (s != null) {
                end(s::end);
            } else if (status == MISDIRECTED) {
                end(ifUnreachable);
            } else {
                end(() -> exchange.reply(status, forwardedHeaders(), body.toByteArray()));
            }
        });
    }

    @Override
    public void onFailure(CallFailure failure) {
        runUnlessEnded(this::onConnectionLost);
    }

    /**
     * Aborts a stream that has started, and the caller resumes it with the same key at its offset. Without a stream,
     * the owner counts as unreachable.
     */
    private void onConnectionLost() {
        ResponseStream s = stream;
        end(s == null ? ifUnreachable : s::abort);
    }

    private void end(Runnable action) {
        ended = true;
        OpenStream current = connection;
        if (current != null) {
            current.cancel();
        }
        action.run();
    }

    private void run(Runnable action) {
        executor.execute(() -> runUnlessEnded(action));
    }

    private void runUnlessEnded(Runnable action) {
        if (!ended) {
            action.run();
        }
    }
}
