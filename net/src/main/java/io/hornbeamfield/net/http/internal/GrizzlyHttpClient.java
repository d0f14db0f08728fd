package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.http.StreamListener;
import io.hornbeamfield.net.metrics.ConnectionByteCounter;
import io.hornbeamfield.net.metrics.TransferredBytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** HTTP client built on Grizzly's HTTP codec filters. */
public final class GrizzlyHttpClient implements HttpClient {
    private final Clock clock = MonotonicClock.start();
    private final TCPNIOTransport transport;
    private final ScheduledExecutorService timer;
    private final ConnectionCache connections;
    private final ReplyBuffers buffers;

    private GrizzlyHttpClient(TCPNIOTransport transport, ScheduledExecutorService timer, long maxReplyBytes) {
        this.transport = transport;
        this.timer = timer;
        this.buffers = new ReplyBuffers(maxReplyBytes, timer);
        this.connections = new ConnectionCache(transport);
    }

    /** Starts a client that keeps at most the given number of bytes of all replies that it collects. */
    public static HttpClient start(String name, long maxReplyBytes, TransferredBytes transferred) {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setName(name + "-http-client")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(2)
                .setTcpNoDelay(true)
                .build();
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new ReadFilter(transferred))
                .add(new ResponseCodec())
                .add(new ResponseFilter())
                .build());
        transport.getConnectionMonitoringConfig().addProbes(new ConnectionByteCounter(transferred));
        try {
            transport.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot start the HTTP client.", e);
        }
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, name + "-http-timeout");
            t.setDaemon(true);
            return t;
        });
        // Otherwise the timeout of a call would keep its reply until it elapses.
        timer.setRemoveOnCancelPolicy(true);
        return new GrizzlyHttpClient(transport, timer, maxReplyBytes);
    }

    @Override
    public CompletableFuture<HttpReply> send(HttpCall call) {
        CompletableFuture<HttpReply> future = new CompletableFuture<>();
        CollectingListener reply = new CollectingListener(future, buffers, clock);
        buffers.add(reply);
        Exchange exchange = startExchange(call, reply);
        ReplyTimeout timeout = ReplyTimeout.start(timer, call, exchange);
        // Returns the original future, since a dependent one would wrap the CallFailure in a CompletionException.
        future.whenComplete((result, failure) -> {
            buffers.remove(reply);
            timeout.cancel();
            if (failure != null) {
                exchange.cancel();
            }
        });
        return future;
    }

    @Override
    public OpenStream open(HttpCall call, StreamListener listener) {
        return open(call, startExchange(call, listener));
    }

    @Override
    public OpenStream open(HttpCall call, Executor executor, StreamListener listener) {
        QueuedListener queued = new QueuedListener(executor, listener);
        Exchange exchange = new Exchange(call, queued, connections);
        queued.onOverrun(exchange::fail);
        connections.acquire(exchange);
        return open(call, exchange);
    }

    private OpenStream open(HttpCall call, Exchange exchange) {
        timer.schedule(
                () -> exchange.failUnlessHeadArrived(ReplyTimeout.failure(call, call.timeout())),
                call.timeout().toMillis(),
                TimeUnit.MILLISECONDS);
        return exchange::cancel;
    }

    private Exchange startExchange(HttpCall call, StreamListener listener) {
        Exchange exchange = new Exchange(call, listener, connections);
        connections.acquire(exchange);
        return exchange;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot stop the HTTP client.", e);
        }
    }
}
