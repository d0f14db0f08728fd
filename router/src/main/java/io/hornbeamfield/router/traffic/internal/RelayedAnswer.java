package io.hornbeamfield.router.traffic.internal;

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
 * Passes the owner's answer on to the caller while it arrives. While the answer is open, the owner is asked each second
 * whether it is alive, because an open connection to it may go silent. After three misses the owner counts as
 * unreachable.
 */
final class RelayedAnswer implements StreamListener {
    private static final int MISSES_ALLOWED = 2;

    /** The status of a router that is not the incarnation which the relaying router expected. */
    static final int MISDIRECTED = 421;

    private final HttpExchange exchange;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final Supplier<CompletableFuture<Boolean>> alive;
    private final Runnable ifUnreachable;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable OpenStream open;
    private @Nullable ResponseStream stream;
    private int status;
    private Map<String, String> headers = Map.of();
    private int misses;
    private boolean ended;

    RelayedAnswer(
            HttpExchange exchange,
            Executor executor,
            ScheduledExecutorService timer,
            Supplier<CompletableFuture<Boolean>> alive,
            Runnable ifUnreachable) {
        this.exchange = exchange;
        this.executor = executor;
        this.timer = timer;
        this.alive = alive;
        this.ifUnreachable = ifUnreachable;
    }

    void opened(OpenStream connection) {
        open = connection;
        checkLater();
    }

    void callerLeft() {
        run(() -> end(() -> {}));
    }

    private void checkLater() {
        timer.schedule(() -> run(this::check), 1, TimeUnit.SECONDS);
    }

    private void check() {
        alive.get().thenAcceptAsync(this::checked, executor);
    }

    private void checked(boolean isAlive) {
        misses = isAlive ? 0 : misses + 1;
        if (ended) {
            return;
        }
        if (misses > MISSES_ALLOWED) {
            broken();
        } else {
            checkLater();
        }
    }

    @Override
    public void onHead(int code, Map<String, String> fields) {
        run(() -> {
            status = code;
            headers = fields;
            if (fields.getOrDefault("content-type", "").startsWith("text/event-stream")) {
                stream = exchange.startStream(code, passedOn());
            }
        });
    }

    private Map<String, String> passedOn() {
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
        run(() -> {
            ResponseStream s = stream;
            if (s == null) {
                body.writeBytes(chunk);
            } else {
                s.write(chunk);
            }
        });
    }

    @Override
    public void onEnd() {
        run(() -> {
            ResponseStream s = stream;
            if (s != null) {
                end(s::end);
            } else if (status == MISDIRECTED) {
                end(ifUnreachable);
            } else {
                end(() -> exchange.reply(status, passedOn(), body.toByteArray()));
            }
        });
    }

    @Override
    public void onFailure(CallFailure failure) {
        run(this::broken);
    }

    /** A stream that has started is broken off; the caller resumes it with the same key at its offset. */
    private void broken() {
        ResponseStream s = stream;
        end(s == null ? ifUnreachable : s::abort);
    }

    private void end(Runnable action) {
        ended = true;
        OpenStream connection = open;
        if (connection != null) {
            connection.cancel();
        }
        action.run();
    }

    private void run(Runnable action) {
        executor.execute(() -> {
            if (!ended) {
                action.run();
            }
        });
    }
}
