package io.hornbeamfield.net.relay;

import io.hornbeamfield.net.metrics.TransferredBytes;
import io.hornbeamfield.net.relay.internal.GrizzlyRelayTransport;
import java.util.function.Supplier;

/**
 * Accepts and opens HTTP/1.1 connections on one thread. All calls to handlers and listeners run under one
 * {@link Serial}.
 *
 * <pre>{@code
 * RelayTransport transport = RelayTransport.start("entry", serial);
 * transport.listen("10.0.0.1:8080", () -> limits, request -> request.reply(200, List.of(), body));
 * }</pre>
 */
public interface RelayTransport extends AutoCloseable {
    /** Leaves room for the copies that are made while bodies grow. */
    long BYTES_PER_HEAP = 8;

    /**
     * Starts a transport whose thread has the given name and that keeps at most an eighth of the heap of input, and as
     * much of unsent answers.
     */
    static RelayTransport start(String name, Serial serial) {
        return start(name, serial, Runtime.getRuntime().maxMemory() / BYTES_PER_HEAP);
    }

    /**
     * Starts a transport whose thread has the given name.
     *
     * @param maxBytes bytes of the requests and of the heads of responses that are kept at the same time; beyond that
     *     the largest of those that are not complete are ended, requests with status 503 after their heads. As many
     *     bytes of answers may be unsent; beyond that the connections on which most has waited longest are closed.
     */
    static RelayTransport start(String name, Serial serial, long maxBytes) {
        return GrizzlyRelayTransport.start(name, serial, maxBytes, new TransferredBytes());
    }

    /** Starts a transport whose thread has the given name and that counts the bytes that it transfers. */
    static RelayTransport start(String name, Serial serial, TransferredBytes transferred) {
        return GrizzlyRelayTransport.start(
                name, serial, Runtime.getRuntime().maxMemory() / BYTES_PER_HEAP, transferred);
    }

    /** Accepts connections at {@code ip:port}; port 0 selects a free port. Returns the bound port. */
    int listen(String address, Supplier<InboundLimits> limits, InboundHandler handler);

    /** Opens a connection to {@code ip:port}. */
    void connect(String address, ConnectListener listener);

    /** Closes client connections that exceed the header or idle timeout. To be called a few times per second. */
    void sweep();

    /** Returns the number of open client connections. */
    int inboundConnections();

    /** Returns the number of response bytes that are queued but not yet written to the sockets of clients. */
    long unsentBytes();

    /** Returns the number of connections that were closed because too much of their answers was unsent. */
    int closedAsUnread();

    /** Runs an action after the input that has arrived so far has been handled. Requires a listening socket. */
    void afterPendingInput(Runnable action);

    /** Closes the listening sockets; open connections are not affected. */
    void stopListening();

    /** Closes the client connections on which no part of a request and no unsent part of a response is present. */
    void closeIdle();

    @Override
    void close();
}
