package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.ResponseStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** Reports exactly once that an exchange has finished: it was answered, or its caller disconnected. */
final class TrackedExchange implements HttpExchange {
    private final HttpExchange exchange;
    private final Runnable onFinished;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final List<Runnable> onDisconnect = new ArrayList<>();
    private boolean disconnected;

    TrackedExchange(HttpExchange exchange, Runnable onFinished) {
        this.exchange = exchange;
        this.onFinished = onFinished;
        exchange.onDisconnect(this::callerDisconnected);
    }

    private void callerDisconnected() {
        List<Runnable> actions;
        synchronized (onDisconnect) {
            disconnected = true;
            actions = List.copyOf(onDisconnect);
        }
        actions.forEach(Runnable::run);
        markFinished();
    }

    private void markFinished() {
        if (finished.compareAndSet(false, true)) {
            onFinished.run();
        }
    }

    @Override
    public String method() {
        return exchange.method();
    }

    @Override
    public String path() {
        return exchange.path();
    }

    @Override
    public Optional<String> query(String name) {
        return exchange.query(name);
    }

    @Override
    public Optional<String> rawQuery() {
        return exchange.rawQuery();
    }

    @Override
    public Optional<String> header(String name) {
        return exchange.header(name);
    }

    @Override
    public byte[] body() {
        return exchange.body();
    }

    @Override
    public Duration age() {
        return exchange.age();
    }

    @Override
    public void reply(int status, Map<String, String> headers, byte[] body) {
        try {
            exchange.reply(status, headers, body);
        } finally {
            markFinished();
        }
    }

    @Override
    public ResponseStream startStream(int status, Map<String, String> headers) {
        ResponseStream stream = exchange.startStream(status, headers);
        return new ResponseStream() {
            @Override
            public boolean write(byte[] part) {
                return stream.write(part);
            }

            @Override
            public void end() {
                try {
                    stream.end();
                } finally {
                    markFinished();
                }
            }

            @Override
            public void abort() {
                try {
                    stream.abort();
                } finally {
                    markFinished();
                }
            }
        };
    }

    /** Registers an action, which runs at once if the caller has already disconnected. */
    @Override
    public void onDisconnect(Runnable action) {
        boolean alreadyDisconnected;
        synchronized (onDisconnect) {
            alreadyDisconnected = disconnected;
            if (!alreadyDisconnected) {
                onDisconnect.add(action);
            }
        }
        if (alreadyDisconnected) {
            action.run();
        }
    }
}
