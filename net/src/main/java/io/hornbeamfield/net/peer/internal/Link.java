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

/** One connection to another router, from the first byte of the handshake to its close. */
final class Link implements PeerLink {
    private static final int MAX_MISSED_HEARTBEATS = 3;

    /** Receives the events of a link. */
    interface Owner {
        /** Decides after the other side's hello whether the handshake goes on. */
        boolean admits(Link link);

        /** Decides whether an authenticated link is kept. */
        boolean accept(Link link);

        void received(Link link, PeerMessage message);

        void closed(Link link);
    }

    private final Connection<?> connection;
    private final Handshake handshake;
    private final Owner owner;
    private final boolean dialled;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final AtomicInteger missed = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private volatile @Nullable Hello peer;
    private volatile boolean authenticated;

    Link(Connection<?> connection, Handshake handshake, Owner owner, boolean dialled) {
        this.connection = connection;
        this.handshake = handshake;
        this.owner = owner;
        this.dialled = dialled;
    }

    void begin() {
        connection.addCloseListener((closeable, type) -> close());
        write(handshake.hello());
    }

    void receive(byte[] body) {
        if (closed.get()) {
            return;
        }
        missed.set(0);
        PeerMessage message;
        try {
            message = Frames.decode(body);
        } catch (IOException e) {
            close();
            return;
        }
        Hello other = peer;
        if (authenticated) {
            owner.received(this, message);
        } else if (other == null && message instanceof Hello hello) {
            greeted(hello);
        } else if (other != null && message instanceof Proof proof && handshake.accepts(other, proof)) {
            authenticated = true;
            if (!owner.accept(this)) {
                close();
            }
        } else {
            close();
        }
    }

    private void greeted(Hello hello) {
        peer = hello;
        if (owner.admits(this)) {
            write(handshake.proveTo(hello));
        } else {
            close();
        }
    }

    /** Counts a heartbeat interval; closes the link when nothing was received during the last three. */
    void tick() {
        if (missed.incrementAndGet() > MAX_MISSED_HEARTBEATS) {
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
            throw new IllegalStateException("The other side has not introduced itself yet.");
        }
        return other;
    }

    @Override
    public boolean send(PeerMessage message) {
        return isOpen() && write(message);
    }

    private boolean write(PeerMessage message) {
        writeFrame(connection, Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, Frames.encode(message)));
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
            owner.closed(this);
        }
    }
}
