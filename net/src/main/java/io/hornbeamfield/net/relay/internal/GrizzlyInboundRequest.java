package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;

/** A request on a caller's connection. All calls run in the transport's serial. */
final class GrizzlyInboundRequest implements InboundRequest {
    private static final int SWITCHING_STATUSES = 200;

    private final Connection<?> connection;
    private final HttpRequestPacket head;
    private final InboundState state;
    private final String method;
    private final String path;
    private final String query;
    private final List<Header> headers;
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private byte[] body = new byte[0];
    private boolean complete;
    private boolean started;
    private boolean finished;
    private boolean gone;
    private boolean closeAfter;
    private final AtomicLong unsent = new AtomicLong();
    private @Nullable Runnable goneAction;

    GrizzlyInboundRequest(Connection<?> connection, HttpRequestPacket head, InboundState state) {
        this.connection = connection;
        this.head = head;
        this.state = state;
        this.method = head.getMethod().getMethodString();
        this.path = head.getRequestURI();
        String q = head.getQueryString();
        this.query = q == null ? "" : q;
        this.headers = copy(head.getHeaders());
        this.closeAfter = !head.getProcessingState().isKeepAlive()
                || "close".equalsIgnoreCase(String.valueOf(header("Connection")));
    }

    private static List<Header> copy(MimeHeaders from) {
        List<Header> list = new ArrayList<>(from.size());
        for (int i = 0; i < from.size(); i++) {
            list.add(new Header(from.getName(i).toString(), from.getValue(i).toString()));
        }
        return list;
    }

    boolean isOf(HttpRequestPacket packet) {
        return head == packet && !complete;
    }

    /** Returns the size of the headers and of the target. */
    int headerBytes() {
        return path.length()
                + query.length()
                + headers.stream()
                        .mapToInt(h -> h.name().length() + h.value().length() + 4)
                        .sum();
    }

    /** Returns whether the request is of a version that this transport speaks. */
    boolean isSupportedVersion() {
        Protocol version = head.getProtocol();
        return version == Protocol.HTTP_1_1 || version == Protocol.HTTP_1_0;
    }

    long announcedLength() {
        return head.getContentLength();
    }

    void acknowledgeIfExpected() {
        if (head.requiresAcknowledgement()) {
            HttpResponsePacket response = head.getResponse();
            response.setStatus(HttpStatus.CONINTUE_100);
            response.setAcknowledgement(true);
            write(HttpContent.builder(response).build(), 0);
            response.acknowledged();
        }
    }

    void append(byte[] part) {
        collected.writeBytes(part);
    }

    int bodyLength() {
        return collected.size();
    }

    void completed() {
        complete = true;
        body = collected.toByteArray();
        collected.reset();
    }

    boolean complete() {
        return complete;
    }

    boolean answered() {
        return started;
    }

    void connectionEnded() {
        gone = true;
        Runnable action = goneAction;
        if (!finished && action != null) {
            goneAction = null;
            action.run();
        }
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String target() {
        return query.isEmpty() ? path : path + "?" + query;
    }

    @Override
    public String path() {
        return path;
    }

    @Override
    public String query() {
        return query;
    }

    @Override
    public List<Header> headers() {
        return headers;
    }

    @Override
    public @Nullable String header(String name) {
        return Header.find(headers, name).orElse(null);
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public boolean callerGone() {
        return gone || !connection.isOpen();
    }

    @Override
    public void onCallerGone(Runnable action) {
        goneAction = action;
        if (gone) {
            connectionEnded();
        }
    }

    @Override
    public void reply(int status, List<Header> answerHeaders, byte[] bytes) {
        if (started) {
            throw new IllegalStateException("The request has been answered already.");
        }
        HttpResponsePacket response = responseHead(status, answerHeaders);
        response.setContentLengthLong(bytes.length);
        write(
                HttpContent.builder(response)
                        .content(Buffers.wrap(null, bytes))
                        .last(true)
                        .build(),
                bytes.length);
        finish();
    }

    @Override
    public void start(int status, List<Header> answerHeaders) {
        if (started) {
            throw new IllegalStateException("The request has been answered already.");
        }
        // The head leaves with the first part: a chunked part without bytes would end the answer.
        responseHead(status, answerHeaders).setChunked(true);
    }

    private HttpResponsePacket responseHead(int status, List<Header> answerHeaders) {
        started = true;
        HttpResponsePacket response = head.getResponse();
        response.setAcknowledgement(false);
        response.setStatus(HttpStatus.getHttpStatus(Math.max(status, SWITCHING_STATUSES)));
        answerHeaders.forEach(h -> response.addHeader(h.name(), h.value()));
        if (closeAfter) {
            head.getProcessingState().setKeepAlive(false);
        }
        return response;
    }

    @Override
    public void write(byte[] part) {
        if (part.length == 0) {
            return;
        }
        write(
                HttpContent.builder(head.getResponse())
                        .content(Buffers.wrap(null, part))
                        .build(),
                part.length);
    }

    private void write(HttpContent content, int length) {
        if (!connection.isOpen()) {
            return;
        }
        unsent.addAndGet(length);
        // A write fails only when the connection has ended, which the close handler reports.
        Writes.write(connection, content, () -> unsent.addAndGet(-length), failure -> unsent.addAndGet(-length));
    }

    @Override
    public long unsentBytes() {
        return unsent.get();
    }

    @Override
    public void end() {
        write(HttpContent.builder(head.getResponse()).last(true).build(), 0);
        finish();
    }

    private void finish() {
        finished = true;
        goneAction = null;
        state.answered();
        if (closeAfter) {
            state.ending();
            connection.closeSilently();
        }
    }

    @Override
    public void cut() {
        finished = true;
        goneAction = null;
        connection.terminateSilently();
    }

    @Override
    public void closeAfterAnswer() {
        closeAfter = true;
    }
}
