package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.ResponseStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** Reports once that an exchange is over: answered, or left by its caller. */
final class TrackedExchange implements HttpExchange {
    private final HttpExchange exchange;
    private final Runnable onOver;
    private final AtomicBoolean over = new AtomicBoolean();
    private final List<Runnable> onDisconnect = new ArrayList<>();
    private boolean left;

    TrackedExchange(HttpExchange exchange, Runnable onOver) {
        this.exchange = exchange;
        this.onOver = onOver;
        exchange.onDisconnect(this::callerLeft);
    }

    private void callerLeft() {
        List<Runnable> actions;
        synchronized (onDisconnect) {
            left = true;
            actions = List.copyOf(onDisconnect);
        }
        actions.forEach(Runnable::run);
        over();
    }

    private void over() {
        if (over.compareAndSet(false, true)) {
            onOver.run();
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
    public void reply(int status, Map<String, String> headers, byte[] body) {
        try {
            exchange.reply(status, headers, body);
        } finally {
            over();
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
                    over();
                }
            }

            @Override
            public void abort() {
                try {
                    stream.abort();
                } finally {
                    over();
                }
            }
        };
    }

    /** An action that is registered after the caller left runs at once. */
    @Override
    public void onDisconnect(Runnable action) {
        boolean late;
        synchronized (onDisconnect) {
            late = left;
            if (!late) {
                onDisconnect.add(action);
            }
        }
        if (late) {
            action.run();
        }
    }
}
