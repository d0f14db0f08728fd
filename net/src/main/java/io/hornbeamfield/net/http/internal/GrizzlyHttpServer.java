package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.http.ProblemDetails;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** HTTP server built on Grizzly's HTTP server. */
public final class GrizzlyHttpServer implements HttpServer {
    private static final Logger LOG = Logger.getLogger(GrizzlyHttpServer.class);

    /** Ample, since the selector threads only have to wake up and terminate. */
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final org.glassfish.grizzly.http.server.HttpServer server;
    private final NetworkListener listener;

    private GrizzlyHttpServer(org.glassfish.grizzly.http.server.HttpServer server, NetworkListener listener) {
        this.server = server;
        this.listener = listener;
    }

    /** Binds the address and starts the server. */
    public static HttpServer start(
            String address, String name, int workerThreads, long maxBodyBytesTogether, List<Route> routes) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        int port = Integer.parseInt(address.substring(colon + 1));
        NetworkListener listener = new NetworkListener(name, host, port);
        configureThreads(listener, name, workerThreads);
        ArrivalSelector arrivals = new ArrivalSelector();
        listener.getTransport().setSelectorHandler(arrivals);
        listener.setMaxFormPostSize(MAX_BODY_BYTES);
        // No idle timeout: a stream may send nothing for longer than any fixed limit.
        listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.registerAddOn(RequestCodec::install);
        listener.registerAddOn((l, filters) -> filters.add(1, HeldInput.filter()));
        org.glassfish.grizzly.http.server.HttpServer server = new org.glassfish.grizzly.http.server.HttpServer();
        server.addListener(listener);
        server.getServerConfiguration()
                .addHttpHandler(new Dispatcher(routes, new RequestBodies(maxBodyBytesTogether), arrivals), "/");
        server.getServerConfiguration().setAllowPayloadForUndefinedHttpMethods(true);
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + address + ". Check that the address is free.", e);
        }
        return new GrizzlyHttpServer(server, listener);
    }

    private static void configureThreads(NetworkListener listener, String name, int workerThreads) {
        TCPNIOTransport transport = listener.getTransport();
        transport.setSelectorRunnersCount(2);
        transport.setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                .setPoolName(name + "-worker")
                .setCorePoolSize(workerThreads)
                .setMaxPoolSize(workerThreads));
    }

    @Override
    public int port() {
        return listener.getPort();
    }

    /**
     * Stops the server and waits until the port is closed. Java closes a listening channel only when its selector
     * thread next runs; until then the operating system accepts connections that are never served.
     */
    @Override
    public void close() {
        // Null if the server has already been closed.
        @Nullable ExecutorService selectors = listener.getTransport().getKernelThreadPool();
        server.shutdownNow();
        try {
            if (selectors != null && !selectors.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                LOG.warnf(
                        "The selector threads of port %d did not terminate within %d ms.",
                        listener.getPort(), CLOSE_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static final class Dispatcher extends HttpHandler {
        private static final String ARRIVED_MS = "hornbeamfield-arrived-ms";

        private final List<Route> routes;
        private final RequestBodies bodies;
        private final ArrivalSelector arrivals;

        Dispatcher(List<Route> routes, RequestBodies bodies, ArrivalSelector arrivals) {
            this.routes = routes;
            this.bodies = bodies;
            this.arrivals = arrivals;
        }

        @Override
        public void service(Request request, Response response) {
            response.suspend();
            long arrivedMs = (Long) request.getAttribute(ARRIVED_MS);
            Connection<?> connection = request.getConnection();
            Executor workers = connection.getTransport().getWorkerThreadPool();
            // In a thread of its own, since the caller holds locks of another connection.
            Runnable close = () -> workers.execute(connection::terminateSilently);
            BodyReader.read(request, bodies, close, body -> {
                HeldInput.of(connection).requestReceived();
                dispatch(new GrizzlyExchange(request, response, body, () -> arrivals.elapsedMs(arrivedMs)));
            });
        }

        /** Called on the thread that parses the request; the request is handled on another one. */
        @Override
        public RequestExecutorProvider getRequestExecutorProvider() {
            return request -> {
                Connection<?> connection = request.getContext().getConnection();
                request.setAttribute(ARRIVED_MS, arrivals.arrivedMs(connection));
                if (request.getInputBuffer().isFinished()) {
                    HeldInput.of(connection).requestReceived();
                }
                return connection.getTransport().getWorkerThreadPool();
            };
        }

        private void dispatch(GrizzlyExchange exchange) {
            if (exchange.bodyTooLarge()) {
                ProblemDetails.reply(
                        exchange,
                        Refusal.of(
                                ResultCode.TOO_LARGE,
                                "The body is larger than " + MAX_BODY_BYTES + " bytes. Send a smaller request."));
                return;
            }
            for (Route route : routes) {
                if (route.matches(exchange.method(), exchange.path())) {
                    handle(route, exchange);
                    return;
                }
            }
            exchange.replyJson(
                    404, ErrorBodies.error("There is no " + exchange.method() + " " + exchange.path() + "."));
        }

        private static void handle(Route route, GrizzlyExchange exchange) {
            try {
                route.handler().handle(exchange);
            } catch (RuntimeException e) {
                exchange.replyJson(500, ErrorBodies.error("Internal error: " + e));
            }
        }
    }
}
