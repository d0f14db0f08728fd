package io.hornbeamfield.net.peer;

import static java.util.Objects.requireNonNull;

import io.hornbeamfield.net.peer.internal.GrizzlyPeerTransport;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Maintains links to other routers. There is at most one link per incarnation, whichever side dialled.
 *
 * <pre>{@code
 * PeerTransport transport = PeerTransport.builder()
 *         .identity(identity)
 *         .sharedSecret(secret)
 *         .status(() -> new PeerStatus(revision, age, ServerState.LIVE, 0))
 *         .listener(listener)
 *         .listenOn("10.0.0.1:7100")
 *         .start();
 * transport.dial("10.0.0.2:7100");
 * }</pre>
 */
public interface PeerTransport extends AutoCloseable {
    /** Maximum size of a frame body, sent or received. */
    int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /** Creates a builder. */
    static Builder builder() {
        return new Builder();
    }

    /** Returns the bound port. */
    int port();

    /**
     * Maintains a link to the router at this address: dials it now and redials with exponential backoff while there is
     * no link.
     */
    void dial(String address);

    /** Stops dialling an address; an open link stays open. */
    void stopDialling(String address);

    /** Returns the open links. */
    List<PeerLink> links();

    @Override
    void close();

    /** Settings of a transport as collected by the builder. */
    record Options(
            PeerIdentity identity,
            String sharedSecret,
            Supplier<PeerStatus> status,
            PeerListener listener,
            String address,
            Duration heartbeatInterval,
            int maxLinks) {}

    /** Builds a {@link PeerTransport}. */
    final class Builder {
        private @Nullable PeerIdentity identity;
        private @Nullable String sharedSecret;
        private @Nullable Supplier<PeerStatus> status;
        private @Nullable PeerListener listener;
        private String address = "127.0.0.1:0";
        private Duration heartbeatInterval = Duration.ofSeconds(1);
        private int maxLinks = 12;

        private Builder() {}

        /** Sets the identity that the transport announces for this router. */
        public Builder identity(PeerIdentity own) {
            this.identity = own;
            return this;
        }

        /** Sets the secret that all routers of the fleet share. */
        public Builder sharedSecret(String secret) {
            this.sharedSecret = secret;
            return this;
        }

        /** Sets the source of the heartbeats' content. */
        public Builder status(Supplier<PeerStatus> source) {
            this.status = source;
            return this;
        }

        /** Sets the listener for link events. */
        public Builder listener(PeerListener receiver) {
            this.listener = receiver;
            return this;
        }

        /** Sets the address to listen on, {@code ip:port}; port 0 selects a free port. */
        public Builder listenOn(String ipAndPort) {
            this.address = ipAndPort;
            return this;
        }

        /** Sets the interval between heartbeats. Links time out after three intervals without a message. */
        public Builder heartbeatInterval(Duration interval) {
            this.heartbeatInterval = interval;
            return this;
        }

        /** Sets the number of links above which connections from further routers are rejected. */
        public Builder maxLinks(int limit) {
            this.maxLinks = limit;
            return this;
        }

        /** Binds the address and starts the transport. */
        public PeerTransport start() {
            return GrizzlyPeerTransport.start(new Options(
                    requireNonNull(identity, "identity"),
                    requireNonNull(sharedSecret, "sharedSecret"),
                    requireNonNull(status, "status"),
                    requireNonNull(listener, "listener"),
                    address,
                    heartbeatInterval,
                    maxLinks));
        }
    }
}
