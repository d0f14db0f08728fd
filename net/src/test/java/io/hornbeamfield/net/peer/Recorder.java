package io.hornbeamfield.net.peer;

import io.hornbeamfield.core.config.ServerState;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A peer transport that records its events, so that tests can wait for them. Heartbeats have a queue of their own. */
final class Recorder implements PeerListener, AutoCloseable {
    static final Duration INTERVAL = Duration.ofMillis(40);

    final BlockingQueue<PeerLink> linked = new LinkedBlockingQueue<>();
    final BlockingQueue<PeerLink> closed = new LinkedBlockingQueue<>();
    final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
    final BlockingQueue<PeerMessage.Heartbeat> heartbeats = new LinkedBlockingQueue<>();
    final PeerTransport transport;

    Recorder(String name, String secret, int port, int maxLinks) {
        transport = PeerTransport.builder()
                .identity(new PeerIdentity(name + "-00000001", name, "a", "127.0.0.1:1"))
                .sharedSecret(secret)
                .status(() -> new PeerStatus(7, 5, ServerState.LEAVING, 3))
                .listener(this)
                .listenOn("127.0.0.1:" + port)
                .heartbeatInterval(INTERVAL)
                .maxLinks(maxLinks)
                .start();
    }

    Recorder(String name) {
        this(name, "secret", 0, 12);
    }

    String address() {
        return "127.0.0.1:" + transport.port();
    }

    static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T event = queue.poll(5, TimeUnit.SECONDS);
        if (event == null) {
            throw new AssertionError("no event within 5 s");
        }
        return event;
    }

    static <T> boolean noEventWithin(BlockingQueue<T> queue, Duration time) throws InterruptedException {
        return queue.poll(time.toMillis(), TimeUnit.MILLISECONDS) == null;
    }

    @Override
    public void onLinked(PeerLink link) {
        linked.add(link);
    }

    @Override
    public void onMessage(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            heartbeats.add(heartbeat);
        } else {
            messages.add(message);
        }
    }

    @Override
    public void onClosed(PeerLink link) {
        closed.add(link);
    }

    @Override
    public void close() {
        transport.close();
    }
}
