package io.hornbeamfield.net.http.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.jspecify.annotations.Nullable;

/**
 * Holds what a caller sends after a whole request until that request has been answered and completed. Grizzly takes
 * input that comes earlier for a part of the request, but reading has to go on to notice that the caller closes its
 * connection. Thread-safe.
 */
final class HeldInput {
    private static final Attribute<HeldInput> OF_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(HeldInput.class.getName(), HeldInput::new);

    private final Deque<FilterChainContext> held = new ArrayDeque<>();
    private boolean answering;
    private int completing;

    private HeldInput() {}

    static HeldInput of(Connection<?> connection) {
        return OF_CONNECTION.get(connection);
    }

    /** Returns the filter that holds input, to be placed in front of the HTTP codec. */
    static Filter filter() {
        return new BaseFilter() {
            @Override
            public NextAction handleRead(FilterChainContext ctx) {
                // Taken first, since a held context may be passed on and recycled at any time.
                NextAction suspend = ctx.getSuspendAction();
                return of(ctx.getConnection()).hold(ctx) ? suspend : ctx.getInvokeAction();
            }
        };
    }

    private synchronized boolean hold(FilterChainContext ctx) {
        if (!answering && completing == 0 && held.isEmpty()) {
            return false;
        }
        ctx.suspend();
        held.add(ctx);
        return true;
    }

    /** Called once the whole of a request has been received. */
    synchronized void requestReceived() {
        answering = true;
    }

    /** Returns whether input is held. No more is then to be read, so that what is held stays small. */
    synchronized boolean isHolding() {
        return !held.isEmpty();
    }

    /** Completes the answered request with the action, and then passes on what was held. */
    void requestAnswered(Runnable completion) {
        synchronized (this) {
            answering = false;
            completing++;
        }
        try {
            completion.run();
        } finally {
            passOn();
        }
    }

    private void passOn() {
        FilterChainContext next = next();
        while (next != null) {
            next.resume(next.getInvokeAction());
            next = next();
        }
    }

    /** Returns the next input to pass on, or null if there is none, or if a further request is being answered. */
    private synchronized @Nullable FilterChainContext next() {
        FilterChainContext next = answering ? null : held.poll();
        if (next == null) {
            completing--;
        }
        return next;
    }
}
