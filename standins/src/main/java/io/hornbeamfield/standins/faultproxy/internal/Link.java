package io.hornbeamfield.standins.faultproxy.internal;

import io.hornbeamfield.standins.faultproxy.LinkFaults;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/**
 * A listen address whose connections are passed on to a target. Each connection uses two blocking threads per direction
 * (reader and writer), which keeps back pressure of either side intact.
 */
public final class Link implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final InetSocketAddress target;
    private final ExecutorService threads;
    private final Set<Passage> passages = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress listen;
    private ServerSocket acceptor;
    private volatile LinkFaults faults;

    public Link(String listen, String target, LinkFaults faults, ExecutorService threads) {
        this.target = address(target);
        this.threads = threads;
        this.faults = faults;
        InetSocketAddress wanted = address(listen);
        this.acceptor = bind(wanted);
        this.listen = new InetSocketAddress(wanted.getAddress(), acceptor.getLocalPort());
        if (faults.cut()) {
            closeAcceptor();
        } else {
            startAccepting(acceptor);
        }
    }

    /** Parses an address of the form {@code ip:port}. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    public int port() {
        return listen.getPort();
    }

    public String target() {
        return target.getAddress().getHostAddress() + ":" + target.getPort();
    }

    public LinkFaults faults() {
        return faults;
    }

    public int connections() {
        return passages.size();
    }

    private static ServerSocket bind(InetSocketAddress address) {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, 256);
            return socket;
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + address + ". Check that the address is free.", e);
        }
    }

    private void startAccepting(ServerSocket from) {
        threads.execute(() -> {
            while (!from.isClosed()) {
                try {
                    Socket caller = from.accept();
                    threads.execute(() -> connect(caller));
                } catch (SocketException e) {
                    return;
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        });
    }

    private void connect(Socket caller) {
        Socket out = new Socket();
        try {
            caller.setTcpNoDelay(true);
            out.setTcpNoDelay(true);
            if (!faults.silenceNew()) {
                out.connect(target, CONNECT_TIMEOUT_MS);
            }
        } catch (IOException e) {
            Passage.closeWithReset(caller);
            Passage.closeWithReset(out);
            return;
        }
        Passage passage = new Passage(caller, out, () -> faults, passages::remove);
        passages.add(passage);
        if (faults.cut()) {
            passage.reset();
        } else if (faults.silenceNew()) {
            passage.silence();
        } else {
            passage.start(threads);
        }
    }

    /** Replaces the behaviour of the link; silence of the existing connections is an event and is not kept. */
    public synchronized void set(LinkFaults next) {
        boolean wasCut = faults.cut();
        faults = next.withSilence(false, next.silenceNew());
        if (next.cut()) {
            closeAcceptor();
            passages.forEach(Passage::reset);
        } else if (wasCut) {
            acceptor = bind(listen);
            startAccepting(acceptor);
        }
        if (next.silence()) {
            passages.forEach(Passage::silence);
        }
    }

    /** Closes the existing connections with a reset. */
    public void reset() {
        passages.forEach(Passage::reset);
    }

    private synchronized void closeAcceptor() {
        try {
            acceptor.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        closeAcceptor();
        reset();
    }
}
