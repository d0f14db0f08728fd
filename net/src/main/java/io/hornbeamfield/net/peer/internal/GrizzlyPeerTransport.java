package io.hornbeamfield.net.peer.internal;

import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.peer.PeerStatus;
import io.hornbeamfield.net.peer.PeerTransport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Peer transport over Grizzly TCP. */
public final class GrizzlyPeerTransport implements PeerTransport {
    private static final Logger LOG = Logger.getLogger(GrizzlyPeerTransport.class);
    /** Two frames of maximum size; a link whose peer falls further behind is closed. */
    private static final int MAX_PENDING_BYTES = 2 * MAX_FRAME_BYTES;

    /**
     * Connect timeout in heartbeat intervals. Without it the kernel would retry connecting into a partition for
     * minutes.
     */
    private static final int CONNECT_TIMEOUT_INTERVALS = 3;

    private final Options options;
    private final TCPNIOTransport transport;
    private final TCPNIOServerConnection server;
    private final ScheduledExecutorService timer;
    private final Set<Link> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final Map<String, DialTarget> targets = new ConcurrentHashMap<>();

    private GrizzlyPeerTransport(Options options) throws IOException {
        this.options = options;
        this.transport = TCPNIOTransportBuilder.newInstance()
                .setName("peer")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .build();
        transport.setProcessor(chain(null));
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(MAX_PENDING_BYTES);
        this.timer = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "peer-timer");
            t.setDaemon(true);
            return t;
        });
        InetSocketAddress address = socketAddress(options.address());
        transport.start();
        this.server = transport.bind(address);
    }

    /** Binds the address and starts the heartbeats. */
    public static PeerTransport start(Options options) {
        try {
            GrizzlyPeerTransport started = new GrizzlyPeerTransport(options);
            long interval = options.heartbeatInterval().toMillis();
            started.timer.scheduleWithFixedDelay(started::sendHeartbeats, interval, interval, TimeUnit.MILLISECONDS);
            return started;
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "Cannot listen for peers on " + options.address() + ". Check that the address is free.", e);
        }
    }

    private FilterChain chain(@Nullable ConnectAttempt attempt) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter(connection -> newLink(connection, attempt)))
                .build();
    }

    private Link newLink(Connection<?> connection, @Nullable ConnectAttempt attempt) {
        Handshake handshake = new Handshake(options.sharedSecret(), options.identity());
        Link link = new Link(connection, handshake, new LinkEvents(attempt), attempt != null);
        connections.add(link);
        if (attempt != null) {
            attempt.markConnected();
        }
        return link;
    }

    private void sendHeartbeats() {
        PeerStatus status = options.status().get();
        for (Link link : connections) {
            if (link.isAuthenticated()) {
                link.send(new PeerMessage.Heartbeat(
                        link.nextSequence(),
                        status.configRevision(),
                        status.configAgeMs(),
                        status.state(),
                        status.inFlight(),
                        status.crashes().isEmpty() ? Optional.empty() : Optional.of(status.crashes())));
            }
            link.heartbeatIntervalElapsed();
        }
    }

    @Override
    public void dial(String address) {
        DialTarget target = new DialTarget(address, options.heartbeatInterval());
        if (targets.putIfAbsent(address, target) == null) {
            connect(target);
        }
    }

    @Override
    public void stopDialling(String address) {
        DialTarget target = targets.remove(address);
        if (target != null) {
            target.stop();
        }
    }

    private void connect(DialTarget target) {
        if (target.isStopped()) {
            return;
        }
        String lastIncarnation = target.incarnation();
        if (lastIncarnation != null && links.containsKey(lastIncarnation)) {
            target.resetBackoff();
            schedule(() -> connect(target), options.heartbeatInterval());
            return;
        }
        ConnectAttempt attempt = new ConnectAttempt(target, t -> schedule(() -> connect(t), t.nextBackoff()));
        schedule(attempt::endIfNotConnected, options.heartbeatInterval().multipliedBy(CONNECT_TIMEOUT_INTERVALS));
        TCPNIOConnectorHandler.builder(transport)
                .processor(chain(attempt))
                .build()
                .connect(socketAddress(target.address()), new EmptyCompletionHandler<Connection>() {
                    @Override
                    public void failed(Throwable cause) {
                        attempt.end();
                    }
                });
    }

    private void schedule(Runnable task, Duration delay) {
        try {
            timer.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("The peer transport is closed; dialling has stopped.");
        }
    }

    /**
     * Registers an authenticated link unless it is to be rejected. If both sides dialled, the link that was dialled by
     * the smaller incarnation is kept, so that both sides keep the same one.
     */
    private synchronized boolean register(Link link) {
        String other = link.peer().incarnation();
        String own = options.identity().incarnation();
        Link existing = links.get(other);
        if (existing == null && !link.isDialled() && links.size() >= options.maxLinks()) {
            return false;
        }
        if (existing != null && existing.isDialled() != link.isDialled()) {
            boolean keepDialledLink = own.compareTo(other) < 0;
            if (existing.isOpen() && existing.isDialled() == keepDialledLink) {
                return false;
            }
        }
        links.put(other, link);
        if (existing != null) {
            existing.close();
            options.listener().onClosed(existing);
        }
        LOG.infof("Linked with %s.", other);
        options.listener().onLinked(link);
        return true;
    }

    private synchronized void unregister(Link link) {
        if (links.remove(link.peer().incarnation(), link)) {
            LOG.infof("Link with %s closed.", link.peer().incarnation());
            options.listener().onClosed(link);
        }
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override
    public int port() {
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    @Override
    public List<PeerLink> links() {
        return List.copyOf(links.values());
    }

    @Override
    public void close() {
        timer.shutdownNow();
        targets.values().forEach(DialTarget::stop);
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot stop the peer transport.", e);
        }
    }

    private final class LinkEvents implements Link.Listener {
        private final @Nullable ConnectAttempt attempt;

        LinkEvents(@Nullable ConnectAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public boolean shouldProve(Link link) {
            String other = link.peer().incarnation();
            // Prevents a reflection attack: our proof could be sent back to us as that of a peer with our incarnation.
            if (other.equals(options.identity().incarnation())) {
                if (attempt != null) {
                    attempt.target().stop();
                }
                return false;
            }
            return link.isDialled() || links.containsKey(other) || links.size() < options.maxLinks();
        }

        @Override
        public boolean onAuthenticated(Link link) {
            if (attempt != null) {
                attempt.target().setIncarnation(link.peer().incarnation());
            }
            return register(link);
        }

        @Override
        public void onMessage(Link link, PeerMessage message) {
            if (attempt != null && message instanceof PeerMessage.Heartbeat) {
                attempt.target().resetBackoff();
            }
            options.listener().onMessage(link, message);
        }

        @Override
        public void onClosed(Link link) {
            connections.remove(link);
            if (link.isAuthenticated()) {
                unregister(link);
            }
            if (attempt != null) {
                attempt.end();
            }
        }
    }
}
