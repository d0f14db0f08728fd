package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.http.ResponseStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.NIOConnection;

/** Adapts a suspended Grizzly request and response to {@link HttpExchange}. */
final class GrizzlyExchange implements HttpExchange {
    private final Request request;
    private final Response response;
    private final byte[] body;
    private final LongSupplier ageMs;
    private final String method;
    private final String path;
    private final AtomicBoolean responseStarted = new AtomicBoolean();
    private final AtomicBoolean responseComplete = new AtomicBoolean();
    private final List<CloseListener<Closeable, ICloseType>> closeListeners = new CopyOnWriteArrayList<>();

    GrizzlyExchange(Request request, Response response, byte[] body, LongSupplier ageMs) {
        this.request = request;
        this.response = response;
        this.body = body;
        this.ageMs = ageMs;
        this.method = request.getMethod().getMethodString();
        this.path = request.getRequestURI();
    }

    boolean bodyTooLarge() {
        return body.length > HttpServer.MAX_BODY_BYTES;
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String path() {
        return path;
    }

    @Override
    public Optional<String> query(String name) {
        return Optional.ofNullable(request.getParameter(name));
    }

    @Override
    public Optional<String> rawQuery() {
        return Optional.ofNullable(request.getQueryString());
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public Duration age() {
        return Duration.ofMillis(ageMs.getAsLong());
    }

    @Override
    public void reply(int status, Map<String, String> headers, byte[] bytes) {
        if (!responseStarted.compareAndSet(false, true)) {
            return;
        }
        setHead(status, headers);
        response.setContentLength(bytes.length);
        try {
            response.getOutputStream().write(bytes);
        } catch (IOException e) {
            // The caller has disconnected; finish() still releases the suspended request.
        }
        finish();
    }

    @Override
    public ResponseStream startStream(int status, Map<String, String> headers) {
        if (!responseStarted.compareAndSet(false, true)) {
            throw new IllegalStateException("The request has been answered already.");
        }
        setHead(status, headers);
        return new GrizzlyResponseStream(request.getConnection(), response, this::finish);
    }

    @Override
    public void onDisconnect(Runnable action) {
        Connection<?> connection = request.getConnection();
        CloseListener<Closeable, ICloseType> listener = (closeable, type) -> {
            if (!responseComplete.get()) {
                action.run();
            }
        };
        closeListeners.add(listener);
        connection.addCloseListener(listener);
        detectClose(connection);
    }

    /**
     * Re-enables reads on the connection. Grizzly stops reading while a request is suspended and would not notice that
     * the caller closes the connection. Not while input is held, which shows that the caller is there.
     */
    private static void detectClose(Connection<?> connection) {
        if (HeldInput.of(connection).isHolding()) {
            return;
        }
        try {
            ((NIOConnection) connection).enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            connection.closeSilently();
        }
    }

    private void setHead(int status, Map<String, String> headers) {
        response.setStatus(status);
        headers.forEach((name, value) -> {
            if (name.equalsIgnoreCase("Content-Type")) {
                response.setContentType(value);
            } else {
                response.setHeader(name, value);
            }
        });
    }

    private void finish() {
        if (!responseComplete.compareAndSet(false, true)) {
            return;
        }
        // Otherwise a keep-alive connection would hold references to the exchanges of all its past requests.
        Connection<?> connection = request.getConnection();
        closeListeners.forEach(connection::removeCloseListener);
        HeldInput.of(connection).requestAnswered(() -> {
            if (response.isSuspended()) {
                response.resume();
            }
        });
    }
}
