package io.hornbeamfield.net.peer;

import static java.util.Objects.requireNonNull;

import io.hornbeamfield.net.peer.internal.GrizzlyPeerTransport;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Links this router with others. There is at most one link to each incarnation, whichever side dialled.
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
    /** Largest frame that is sent or accepted. */
    int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /** Starts a builder. */
    static Builder builder() {
        return new Builder();
    }

    /** Returns the bound port. */
    int port();

    /** Keeps a link to the router at this address: dials it now, and again with growing delays while it is away. */
    void dial(String address);

    /** Stops dialling an address; an open link stays open. */
    void stopDialling(String address);

    /** Returns the open links. */
    List<PeerLink> links();

    @Override
    void close();

    /** Values of a builder. */
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

        /** Sets what the transport says about this router. */
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

        /** Sets the receiver of events. */
        public Builder listener(PeerListener receiver) {
            this.listener = receiver;
            return this;
        }

        /** Sets the address to listen on, {@code ip:port}; port 0 picks a free one. */
        public Builder listenOn(String ipAndPort) {
            this.address = ipAndPort;
            return this;
        }

        /** Sets the time between two heartbeats. */
        public Builder heartbeatInterval(Duration interval) {
            this.heartbeatInterval = interval;
            return this;
        }

        /** Sets how many links are kept before further routers that dial are turned away. */
        public Builder maxLinks(int limit) {
            this.maxLinks = limit;
            return this;
        }

        /** Binds the address and starts. */
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
