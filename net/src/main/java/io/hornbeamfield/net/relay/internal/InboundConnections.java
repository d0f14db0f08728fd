package io.hornbeamfield.net.relay.internal;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;

/** Registry of the open client connections and their state. */
final class InboundConnections {
    private static final Attribute<InboundState> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hornbeamfield-inbound");

    private final Set<InboundState> all = ConcurrentHashMap.newKeySet();

    void add(Connection<?> connection, InboundState state) {
        STATE.set(connection, state);
        all.add(state);
    }

    void remove(InboundState state) {
        all.remove(state);
    }

    static @Nullable InboundState stateOf(Connection<?> connection) {
        return STATE.get(connection);
    }

    int size() {
        return all.size();
    }

    long unsentBytes() {
        return all.stream().mapToLong(s -> s.unsent().get()).sum();
    }

    void closeIdle() {
        all.forEach(InboundState::closeIfIdle);
    }

    void closeTimedOut() {
        all.forEach(InboundState::closeIfTimedOut);
    }
}
