package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.CallFailure;
import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Pool of idle keep-alive connections per address, which opens new connections on demand. */
final class ConnectionCache {
    private static final int MAX_IDLE_PER_ADDRESS = 32;

    private final TCPNIOTransport transport;
    private final Map<InetSocketAddress, Deque<Connection<?>>> idle = new ConcurrentHashMap<>();

    ConnectionCache(TCPNIOTransport transport) {
        this.transport = transport;
    }

    void acquire(Exchange exchange) {
        Connection<?> cached = exchange.mayReuseConnection() ? pollIdle(exchange.address()) : null;
        if (cached != null) {
            exchange.sendOn(cached);
            return;
        }
        transport.connect(exchange.address(), new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
                exchange.sendOn(connection);
            }

            @Override
            public void failed(Throwable cause) {
                exchange.fail(new CallFailure(
                        CallFailure.Kind.CONNECT_FAILED, "Cannot connect to " + exchange.address() + ": " + cause));
            }
        });
    }

    void release(InetSocketAddress address, Connection<?> connection) {
        Deque<Connection<?>> idleConnections = idle.computeIfAbsent(address, a -> new ConcurrentLinkedDeque<>());
        if (connection.isOpen() && idleConnections.size() < MAX_IDLE_PER_ADDRESS) {
            idleConnections.push(connection);
        } else {
            connection.closeSilently();
        }
    }

    /**
     * Closes all idle connections to an address after a request to it timed out. If one connection stops responding,
     * for example because a middlebox dropped its connection state, the others usually have too.
     */
    void discardIdle(InetSocketAddress address) {
        Connection<?> c = pollIdle(address);
        while (c != null) {
            c.closeSilently();
            c = pollIdle(address);
        }
    }

    private @org.jspecify.annotations.Nullable Connection<?> pollIdle(InetSocketAddress address) {
        Deque<Connection<?>> idleConnections = idle.get(address);
        if (idleConnections == null) {
            return null;
        }
        Connection<?> c = idleConnections.poll();
        while (c != null && !c.isOpen()) {
            c = idleConnections.poll();
        }
        return c;
    }
}
