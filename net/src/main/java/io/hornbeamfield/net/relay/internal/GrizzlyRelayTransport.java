package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.admission.ArrivalEstimate;
import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.internal.ResponseCodec;
import io.hornbeamfield.net.metrics.ConnectionByteCounter;
import io.hornbeamfield.net.metrics.TransferredBytes;
import io.hornbeamfield.net.relay.ConnectListener;
import io.hornbeamfield.net.relay.InboundHandler;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.RelayTransport;
import io.hornbeamfield.net.relay.Serial;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** Relay transport over Grizzly's HTTP codec filters. */
public final class GrizzlyRelayTransport implements RelayTransport {
    private static final int ACCEPT_BACKLOG = 1_024;

    /** A request is read after one selection, and handled after the tasks that were queued before it. */
    private static final int SELECTIONS_BEFORE_HANDLED = 2;

    private final TCPNIOTransport transport;
    private final Serial serial;
    private final ArrivalEstimate estimate;
    private final InputSelector selector;
    private final InboundConnections inbound = new InboundConnections();
    private final BufferPool input;
    private final UnsentAnswers unsentAnswers;
    private final TransferredBytes transferred;
    private final List<Connection<?>> listening = new CopyOnWriteArrayList<>();
    private final FilterChain clientChain;

    private GrizzlyRelayTransport(
            TCPNIOTransport transport,
            Serial serial,
            ArrivalEstimate estimate,
            InputSelector selector,
            long maxBytes,
            TransferredBytes transferred) {
        this.transport = transport;
        this.serial = serial;
        this.estimate = estimate;
        this.selector = selector;
        this.input = new BufferPool(maxBytes);
        this.unsentAnswers = new UnsentAnswers(maxBytes);
        this.transferred = transferred;
        this.clientChain = FilterChainBuilder.stateless()
                .add(new ReadFilter(transferred, serial, input, OutboundFilter::endExcessive))
                .add(new UnexpectedBytesFilter())
                .add(new ResponseCodec(ConnectionInput.MAX_HEADER_BYTES))
                .add(new OutboundFilter())
                .build();
    }

    /** Starts a transport that keeps at most the given number of bytes of heads and requests, and of unsent answers. */
    public static RelayTransport start(String name, Serial serial, long maxBytes, TransferredBytes transferred) {
        ArrivalEstimate estimate = new ArrivalEstimate(MonotonicClock.start());
        InputSelector selector = new InputSelector(estimate);
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setSelectorHandler(selector)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setServerConnectionBackLog(ACCEPT_BACKLOG)
                .build();
        transport.getConnectionMonitoringConfig().addProbes(new ConnectionByteCounter(transferred));
        try {
            transport.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot start the relay transport " + name + ".", e);
        }
        return new GrizzlyRelayTransport(transport, serial, estimate, selector, maxBytes, transferred);
    }

    @Override
    public int listen(String address, Supplier<InboundLimits> limits, InboundHandler handler) {
        KeepAlive keepAlive = new KeepAlive();
        keepAlive.setIdleTimeoutInSeconds(-1);
        keepAlive.setMaxRequestsCount(-1);
        InputSelector.Listening socket = selector.add();
        FilterChain chain = FilterChainBuilder.stateless()
                .add(new ReadFilter(transferred, serial, input, Connection::terminateSilently))
                .add(new InboundConnectionFilter(inbound, limits, serial, estimate, socket.backlog(), unsentAnswers))
                .add(new RequestCodecFilter(ConnectionInput.MAX_HEADER_BYTES, keepAlive))
                .add(new InboundFilter(serial, handler, inbound, limits, input))
                .build();
        InetSocketAddress bindAddress = socketAddress(address);
        try {
            Connection<?> server = TCPNIOBindingHandler.builder(transport)
                    .processor(chain)
                    .build()
                    .bind(bindAddress, ACCEPT_BACKLOG);
            listening.add(server);
            socket.opened((TCPNIOServerConnection) server);
            return ((InetSocketAddress) server.getLocalAddress()).getPort();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + address + ". Check that the address is free.", e);
        }
    }

    @Override
    public void connect(String address, ConnectListener listener) {
        InetSocketAddress peer;
        try {
            peer = socketAddress(address);
        } catch (IllegalArgumentException e) {
            serial.run(() -> listener.onFailed("\"" + address + "\" is no address: " + e.getMessage()));
            return;
        }
        TCPNIOConnectorHandler.builder(transport)
                .processor(clientChain)
                .build()
                .connect(peer, new EmptyCompletionHandler<Connection>() {
                    @Override
                    public void completed(Connection connection) {
                        GrizzlyOutboundConnection c = new GrizzlyOutboundConnection(connection, serial);
                        serial.run(() -> listener.onConnected(c));
                    }

                    @Override
                    public void failed(Throwable cause) {
                        serial.run(() -> listener.onFailed(String.valueOf(cause)));
                    }
                });
    }

    @Override
    public void sweep() {
        serial.run(inbound::closeTimedOut);
    }

    @Override
    public int inboundConnections() {
        return inbound.size();
    }

    @Override
    public int closedAsUnread() {
        return unsentAnswers.closedConnections();
    }

    @Override
    public long unsentBytes() {
        return inbound.unsentBytes();
    }

    @Override
    public void afterPendingInput(Runnable action) {
        SelectorRunner runner = ((NIOConnection) listening.get(0)).getSelectorRunner();
        enqueue(runner, SELECTIONS_BEFORE_HANDLED, () -> serial.run(action));
    }

    /** Runs an action on the reading thread after the given number of selections and their reads. */
    private void enqueue(SelectorRunner runner, int selections, Runnable action) {
        transport
                .getSelectorHandler()
                .enque(
                        runner,
                        () -> {
                            if (selections > 0) {
                                enqueue(runner, selections - 1, action);
                            } else {
                                action.run();
                            }
                            return true;
                        },
                        null);
    }

    @Override
    public void stopListening() {
        listening.forEach(Connection::closeSilently);
        listening.clear();
    }

    @Override
    public void closeIdle() {
        inbound.closeIdle();
    }

    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot stop the relay transport.", e);
        }
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
