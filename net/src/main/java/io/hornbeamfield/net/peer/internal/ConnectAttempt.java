package io.hornbeamfield.net.peer.internal;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * One attempt to dial a target. It ends exactly once: when connecting fails or times out, or when its link closes. A
 * connection that is established after the timeout is still used but does not start a second series of attempts.
 */
final class ConnectAttempt {
    private final DialTarget target;
    private final Consumer<DialTarget> onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean connected;

    ConnectAttempt(DialTarget target, Consumer<DialTarget> onEnd) {
        this.target = target;
        this.onEnd = onEnd;
    }

    DialTarget target() {
        return target;
    }

    void markConnected() {
        connected = true;
    }

    void endIfNotConnected() {
        if (!connected) {
            end();
        }
    }

    void end() {
        if (ended.compareAndSet(false, true)) {
            onEnd.accept(target);
        }
    }
}
