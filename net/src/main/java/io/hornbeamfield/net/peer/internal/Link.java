package io.hornbeamfield.net.peer.internal;

import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.peer.PeerMessage.Hello;
import io.hornbeamfield.net.peer.PeerMessage.Proof;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.jspecify.annotations.Nullable;

/** One connection to another router, from the start of the handshake until it is closed. */
final class Link implements PeerLink {
    /** Heartbeat intervals without a message after which the link is closed. */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    /** Receives the events of a link. */
    interface Listener {
        /** Returns whether to continue the handshake with a proof after the other side's hello. */
        boolean shouldProve(Link link);

        /** Called when the link is authenticated. Returns whether to keep it. */
        boolean onAuthenticated(Link link);

        void onMessage(Link link, PeerMessage message);

        void onClosed(Link link);
    }

    private final Connection<?> connection;
    private final Handshake handshake;
    private final Listener listener;
    private final boolean dialled;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final AtomicInteger missedHeartbeats = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private volatile @Nullable Hello peer;
    private volatile boolean authenticated;

    Link(Connection<?> connection, Handshake handshake, Listener listener, boolean dialled) {
        this.connection = connection;
        this.handshake = handshake;
        this.listener = listener;
        this.dialled = dialled;
    }

    void start() {
        connection.addCloseListener((closeable, type) -> close());
        write(handshake.hello());
    }

    void receive(byte[] body) {
        if (closed.get()) {
            return;
        }
        missedHeartbeats.set(0);
        PeerMessage message;
        try {
            message = FrameCodec.decode(body);
        } catch (IOException e) {
            close();
            return;
        }
        Hello other = peer;
        if (authenticated) {
            listener.onMessage(this, message);
        } else if (other == null && message instanceof Hello hello) {
            handleHello(hello);
        } else if (other != null && message instanceof Proof proof && handshake.verify(other, proof)) {
            authenticated = true;
            if (!listener.onAuthenticated(this)) {
                close();
            }
        } else {
            close();
        }
    }

    private void handleHello(Hello hello) {
        peer = hello;
        if (listener.shouldProve(this)) {
            write(handshake.proofFor(hello));
        } else {
            close();
        }
    }

    /** Counts an elapsed heartbeat interval; closes the link if nothing was received during the last three. */
    void heartbeatIntervalElapsed() {
        if (missedHeartbeats.incrementAndGet() > MAX_MISSED_HEARTBEATS) {
            close();
        }
    }

    long nextSequence() {
        return sequence.incrementAndGet();
    }

    boolean isAuthenticated() {
        return authenticated;
    }

    boolean isDialled() {
        return dialled;
    }

    @Override
    public Hello peer() {
        Hello other = peer;
        if (other == null) {
            throw new IllegalStateException("The peer has not sent its hello yet.");
        }
        return other;
    }

    @Override
    public boolean send(PeerMessage message) {
        return isOpen() && write(message);
    }

    private boolean write(PeerMessage message) {
        writeFrame(connection, Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, FrameCodec.encode(message)));
        return isOpen();
    }

    private <A> void writeFrame(Connection<A> to, Buffer frame) {
        to.write(frame, new EmptyCompletionHandler<WriteResult<Buffer, A>>() {
            @Override
            public void failed(Throwable cause) {
                close();
            }
        });
    }

    @Override
    public boolean isOpen() {
        return !closed.get();
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            connection.closeSilently();
            listener.onClosed(this);
        }
    }
}
