package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.StreamListener;
import java.io.EOFException;
import java.net.InetSocketAddress;
import java.util.Map;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;

/** Client side of one request: the state of the response, its connection and its listener. */
final class Exchange implements CloseListener<Closeable, ICloseType> {
    static final Attribute<Exchange> CURRENT =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hornbeamfield-exchange");

    private static final int MAX_INTERIM_HEADS = 16;

    private final HttpCall call;
    private final StreamListener listener;
    private final ConnectionCache connections;
    private @Nullable Connection<?> connection;
    private int interimHeads;
    private boolean headArrived;
    private long receivedBytes;
    private boolean endsWithConnection;
    private volatile boolean requestWritten;
    private boolean done;

    Exchange(HttpCall call, StreamListener listener, ConnectionCache connections) {
        this.call = call;
        this.listener = listener;
        this.connections = connections;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(call.uri().getHost(), call.uri().getPort());
    }

    /**
     * Returns whether the request may be sent on an idle connection. A POST always gets a new connection: the server
     * may have closed an idle one, and the failure could not be told from that of a request that was sent. A request
     * with {@code Connection: close} also gets a new one, because an idle connection may have stopped responding.
     */
    boolean mayReuseConnection() {
        return !call.method().equals("POST")
                && !"close".equalsIgnoreCase(call.headers().get("Connection"));
    }

    void sendOn(Connection<?> c) {
        synchronized (this) {
            if (done) {
                c.closeSilently();
                return;
            }
            connection = c;
        }
        CURRENT.set(c, this);
        c.addCloseListener(this);
        write(c, requestContent());
    }

    private <A> void write(Connection<A> c, HttpContent content) {
        c.write(content, new EmptyCompletionHandler<WriteResult<HttpContent, A>>() {
            @Override
            public void completed(WriteResult<HttpContent, A> result) {
                requestWritten = true;
            }
        });
    }

    private HttpContent requestContent() {
        String query = call.uri().getRawQuery();
        HttpRequestPacket.Builder head = HttpRequestPacket.builder()
                .method(call.method())
                .uri(call.uri().getRawPath() + (query == null ? "" : "?" + query))
                .protocol("HTTP/1.1")
                .header("Host", call.uri().getAuthority())
                .contentLength(call.body().length);
        call.headers().forEach(head::header);
        Buffer body = Buffers.wrap(null, call.body());
        return HttpContent.builder(head.build()).content(body).last(true).build();
    }

    /** Counts a head before that of the response; a server that sends many sends no response. */
    void interimHead() {
        if (++interimHeads > MAX_INTERIM_HEADS) {
            fail(new CallFailure(CallFailure.Kind.BROKEN, "The server sent " + interimHeads + " interim heads."));
        }
    }

    void head(int status, Map<String, String> headers, BodyFraming bodyFraming) {
        if (!ResponseStatus.isValid(status)) {
            fail(new CallFailure(CallFailure.Kind.BROKEN, "The response has status " + status + "."));
            return;
        }
        if (bodyFraming == BodyFraming.UNCERTAIN) {
            fail(new CallFailure(
                    CallFailure.Kind.BROKEN, "The response has several lengths or an encoding other than chunks."));
            return;
        }
        synchronized (this) {
            if (!done && !headArrived) {
                headArrived = true;
                endsWithConnection = call.bodyMayEndWithConnection() && bodyFraming == BodyFraming.CONNECTION;
                listener.onHead(status, headers);
            }
        }
    }

    synchronized void data(byte[] chunk) {
        if (!done) {
            receivedBytes += chunk.length;
            listener.onData(chunk);
        }
    }

    void end(boolean keepAlive) {
        Connection<?> c;
        synchronized (this) {
            if (done) {
                return;
            }
            done = true;
            c = connection;
        }
        if (c != null) {
            detach(c, keepAlive);
        }
        listener.onEnd();
    }

    private void detach(Connection<?> c, boolean keepAlive) {
        CURRENT.remove(c);
        c.removeCloseListener(this);
        if (keepAlive) {
            connections.release(address(), c);
        } else {
            c.closeSilently();
        }
    }

    void fail(CallFailure failure) {
        if (terminate()) {
            if (failure.kind() == CallFailure.Kind.TIMED_OUT) {
                connections.discardIdle(address());
            }
            listener.onFailure(isSent() ? failure : notSent(failure));
        }
    }

    private synchronized boolean isSent() {
        return connection != null;
    }

    /** A request that ends before it has a connection is never written, because {@link #sendOn} then closes it. */
    private static CallFailure notSent(CallFailure failure) {
        return failure.nothingSent()
                ? failure
                : new CallFailure(CallFailure.Kind.CONNECT_FAILED, failure.getMessage() + " It was still connecting.");
    }

    /** Returns the number of bytes of the body that have arrived. */
    synchronized long receivedBytes() {
        return receivedBytes;
    }

    synchronized boolean headArrived() {
        return headArrived;
    }

    void failUnlessHeadArrived(CallFailure failure) {
        if (!headArrived()) {
            fail(failure);
        }
    }

    void cancel() {
        terminate();
    }

    private boolean terminate() {
        Connection<?> c;
        synchronized (this) {
            if (done) {
                return false;
            }
            done = true;
            c = connection;
        }
        if (c != null) {
            c.removeCloseListener(this);
            c.terminateSilently();
        }
        return true;
    }

    @Override
    public void onClosed(Closeable closeable, ICloseType type) {
        if (isCompleteAtClose()) {
            end(false);
            return;
        }
        fail(new CallFailure(
                CallFailure.Kind.BROKEN,
                "The connection to " + call.uri().getAuthority() + " closed before the response was complete."));
    }

    /**
     * A connection that is reset, or fails in another way, may have lost a part of the body. While the request is being
     * written, the failed write may get the error of a reset, and the read that follows it an orderly end.
     */
    private synchronized boolean isCompleteAtClose() {
        Connection<?> c = connection;
        return endsWithConnection
                && receivedBytes > 0
                && requestWritten
                && c != null
                && c.getCloseReason().getCause() instanceof EOFException;
    }
}
