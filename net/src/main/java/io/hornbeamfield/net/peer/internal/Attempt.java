package io.hornbeamfield.net.peer.internal;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * One attempt to dial a target. It ends once: when connecting fails or takes too long, or when its link closes. A
 * connection that comes about after the limit is still used, but starts no second series of attempts.
 */
final class Attempt {
    private final Target target;
    private final Consumer<Target> next;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean connected;

    Attempt(Target target, Consumer<Target> next) {
        this.target = target;
        this.next = next;
    }

    Target target() {
        return target;
    }

    void connected() {
        connected = true;
    }

    void endUnlessConnected() {
        if (!connected) {
            end();
        }
    }

    void end() {
        if (ended.compareAndSet(false, true)) {
            next.accept(target);
        }
    }
}
