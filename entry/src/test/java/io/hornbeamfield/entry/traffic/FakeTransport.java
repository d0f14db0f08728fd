package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.net.relay.ConnectListener;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundHandler;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.OutboundListener;
import io.hornbeamfield.net.relay.OutboundRequest;
import io.hornbeamfield.net.relay.RelayTransport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Transport whose connections and input a test controls. */
final class FakeTransport implements RelayTransport {
    private final Deque<ConnectListener> connecting = new ArrayDeque<>();
    private final List<String> addresses = new ArrayList<>();
    private final List<ServerConnection> connections = new ArrayList<>();
    private @Nullable InboundHandler handler;
    private volatile boolean swept;

    /** Passes a request to the handler. */
    CallerRequest request(String path, Map<String, String> headers) {
        CallerRequest request = new CallerRequest(path, headers);
        InboundHandler h = handler;
        if (h == null) {
            throw new IllegalStateException("Listen before the first request.");
        }
        h.handle(request);
        return request;
    }

    /** Returns whether the tasks that run a few times per second have run. */
    boolean hasTicked() {
        return swept;
    }

    /** Returns the number of connections that are being opened. */
    int connecting() {
        return connecting.size();
    }

    /** Returns the addresses of all connections that were requested. */
    List<String> addresses() {
        return addresses;
    }

    /** Returns the address of the connection that is opened next. */
    String nextAddress() {
        return addresses.get(addresses.size() - connecting.size());
    }

    /** Opens the connection that was requested first. */
    ServerConnection open() {
        ServerConnection c = new ServerConnection(nextAddress());
        connections.add(c);
        connecting.remove().onConnected(c);
        return c;
    }

    /** Returns the number of requests that were sent to servers. */
    long sent() {
        return connections.stream().filter(c -> c.listener != null).count();
    }

    /** A connection to a server that carries one request at most. */
    static final class ServerConnection implements OutboundConnection {
        private @Nullable OutboundListener listener;
        private final String address;
        private boolean open = true;

        private ServerConnection(String address) {
            this.address = address;
        }

        String address() {
            return address;
        }

        boolean isSent() {
            return listener != null;
        }

        @Override
        public void send(OutboundRequest request, OutboundListener next) {
            listener = next;
        }

        OutboundListener listener() {
            return Optional.ofNullable(listener).orElseThrow(() -> new AssertionError("Nothing was sent."));
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void close() {
            open = false;
        }
    }

    /** A request whose caller's end may have arrived without having been read. */
    static final class CallerRequest implements InboundRequest {
        private final String path;
        private final Map<String, String> headers;
        private boolean endArrived;
        private boolean gone;
        private volatile int status;
        private @Nullable Runnable onGone;
        private List<Header> answerHeaders = List.of();

        private CallerRequest(String path, Map<String, String> headers) {
            this.path = path;
            this.headers = headers;
        }

        /** Lets the end of the caller's connection arrive, which is seen once pending input is handled. */
        void endArrives() {
            endArrived = true;
        }

        /** Returns the status of the answer, 0 if there is none. */
        int status() {
            return status;
        }

        /** Returns the delay that the answer names, 0 if it names none. */
        double retryAfterSeconds() {
            return Header.find(answerHeaders, "Retry-After")
                    .map(Double::parseDouble)
                    .orElse(0.0);
        }

        @Override
        public void afterPendingInput(Runnable action) {
            if (endArrived && !gone) {
                gone = true;
                Optional.ofNullable(onGone).ifPresent(Runnable::run);
            }
            action.run();
        }

        @Override
        public String method() {
            return "GET";
        }

        @Override
        public String target() {
            return path;
        }

        @Override
        public String path() {
            return path;
        }

        @Override
        public String query() {
            return "";
        }

        @Override
        public List<Header> headers() {
            return headers.entrySet().stream()
                    .map(h -> new Header(h.getKey(), h.getValue()))
                    .toList();
        }

        @Override
        public @Nullable String header(String name) {
            return headers.get(name);
        }

        @Override
        public byte[] body() {
            return new byte[0];
        }

        @Override
        public long ageMs() {
            return 0;
        }

        @Override
        public boolean callerGone() {
            return gone;
        }

        @Override
        public void onCallerGone(Runnable action) {
            onGone = action;
        }

        @Override
        public void reply(int answerStatus, List<Header> headersOfAnswer, byte[] body) {
            answerHeaders = headersOfAnswer;
            status = answerStatus;
        }

        @Override
        public void start(int answerStatus, List<Header> answerHeaders) {
            status = answerStatus;
        }

        @Override
        public void write(byte[] part) {
            // The tests look at what is sent to servers.
        }

        @Override
        public long unsentBytes() {
            return 0;
        }

        @Override
        public void end() {
            onGone = null;
        }

        @Override
        public void cut() {
            onGone = null;
        }

        @Override
        public void closeAfterAnswer() {
            // The tests look at one request of a connection.
        }
    }

    @Override
    public int listen(String address, Supplier<InboundLimits> limits, InboundHandler next) {
        handler = next;
        return 0;
    }

    @Override
    public void connect(String address, ConnectListener listener) {
        connecting.add(listener);
        addresses.add(address);
    }

    @Override
    public void sweep() {
        // Connections of callers have no time limits here.
        swept = true;
    }

    @Override
    public int inboundConnections() {
        return 0;
    }

    @Override
    public int closedAsUnread() {
        return 0;
    }

    @Override
    public long unsentBytes() {
        return 0;
    }

    @Override
    public void afterPendingInput(Runnable action) {
        action.run();
    }

    @Override
    public void stopListening() {
        handler = null;
    }

    @Override
    public void closeIdle() {
        // Connections of callers are not kept.
    }

    @Override
    public void close() {
        connecting.clear();
    }
}
