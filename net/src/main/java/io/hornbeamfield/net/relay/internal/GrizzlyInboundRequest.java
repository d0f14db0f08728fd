package io.hornbeamfield.net.relay.internal;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;

/** A request on a client connection. All calls run under the transport's {@code Serial}. */
final class GrizzlyInboundRequest implements InboundRequest, BufferPool.Holder {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Size and line ends of a chunk; without it the end of a chunked response would not count as unsent. */
    private static final int FRAMING_BYTES = 8;

    /** Memory of the objects of a head beside its bytes. */
    private static final int HEAD_COST_BYTES = 4 * 1024;

    private static final Header RETRY_AFTER = new Header("Retry-After", "1");

    private final Connection<?> connection;
    private final HttpRequestPacket head;
    private final InboundState state;
    private final String method;
    private final String path;
    private final String query;
    private final boolean hasQuery;
    private final List<Header> headers;
    private final BufferPool input;
    private final Consumer<GrizzlyInboundRequest> beginNext;
    private final long arrivedMs;
    private ByteArrayOutputStream receivedBody = new ByteArrayOutputStream();
    private byte[] body = new byte[0];
    private boolean complete;
    private boolean started;
    private boolean finished;
    private boolean disconnected;
    private boolean closeAfter;
    /** Whether the connection is closed after this response unless further requests have arrived. */
    private boolean closeIfLast;

    /** Status with which the request is refused, 0 if it is not. */
    private int refusal;
    /** Whether the end of the connection is the end of the response, so that it must be reset to cut the response. */
    private boolean delimitedByClose;

    private volatile boolean ended;
    private final AtomicLong unsent;
    private @Nullable Runnable disconnectAction;

    GrizzlyInboundRequest(
            Connection<?> connection,
            HttpRequestPacket head,
            InboundState state,
            BufferPool input,
            Consumer<GrizzlyInboundRequest> beginNext) {
        this.connection = connection;
        this.head = head;
        this.state = state;
        this.input = input;
        this.beginNext = beginNext;
        this.arrivedMs = state.inputArrivedMs();
        this.unsent = state.unsent();
        this.method = head.getMethod().getMethodString();
        this.path = head.getRequestURIRef().getURI(ISO_8859_1);
        this.hasQuery = !head.getQueryStringDC().isNull();
        this.query = hasQuery ? head.getQueryStringDC().toString(ISO_8859_1) : "";
        this.headers = HeaderCopy.of(head.getHeaders());
        this.closeAfter = !head.getProcessingState().isKeepAlive()
                || "close".equalsIgnoreCase(String.valueOf(header("Connection")));
    }

    boolean isReceiving(HttpRequestPacket packet) {
        return head == packet && !complete;
    }

    /** Returns the size of the headers and the request target in bytes. */
    int headerBytes() {
        return path.length()
                + query.length()
                + headers.stream()
                        .mapToInt(h -> h.name().length() + h.value().length() + 4)
                        .sum();
    }

    /** Returns whether the HTTP version of the request is supported. */
    boolean isSupportedVersion() {
        Protocol version = head.getProtocol();
        return version == Protocol.HTTP_1_1 || version == Protocol.HTTP_1_0;
    }

    long declaredContentLength() {
        return head.getContentLength();
    }

    void sendContinueIfExpected() {
        if (head.requiresAcknowledgement()) {
            HttpResponsePacket response = head.getResponse();
            response.setStatus(HttpStatus.CONINTUE_100);
            response.setAcknowledgement(true);
            write(HttpContent.builder(response).build(), 0);
            response.acknowledged();
        }
    }

    void append(byte[] part) {
        if (part.length > 0) {
            input.add(this);
            receivedBody.writeBytes(part);
            if (isWaiting()) {
                state.waitingGrown(part.length);
            }
            input.grown(part.length);
        }
    }

    int bodyLength() {
        return receivedBody.size();
    }

    void markComplete() {
        complete = true;
        body = receivedBody.toByteArray();
        receivedBody = new ByteArrayOutputStream(0);
    }

    @Override
    public long bufferedBytes() {
        return body.length + receivedBody.size() + (isWaiting() ? headerBytes() + HEAD_COST_BYTES : 0);
    }

    private boolean isWaiting() {
        return !finished && state.current() != this;
    }

    /** Counts the head of a request that waits for the responses before it. */
    void keepHead() {
        if (isWaiting()) {
            int bytes = headerBytes() + HEAD_COST_BYTES;
            state.waitingGrown(bytes);
            input.add(this);
            input.grown(bytes);
        }
    }

    /** Only a request that is not complete or waits has not run for certain. */
    @Override
    public boolean mayBeReleased() {
        return !complete || isWaiting();
    }

    /** Refuses the request, because the requests of all callers occupy too much memory, and this one the most. */
    @Override
    public void release() {
        refuse(SERVICE_UNAVAILABLE);
        if (!isWaiting()) {
            replyRefusal();
        }
    }

    /** Refuses the request once the responses before it are complete, and reads nothing after it. */
    void refuse(int status) {
        refusal = status;
        closeAfter = true;
        body = new byte[0];
        receivedBody = new ByteArrayOutputStream(0);
        state.stopReading();
    }

    boolean isRefused() {
        return refusal > 0;
    }

    void replyRefusal() {
        if (!started) {
            // The rest of the request must not be parsed as another one.
            reply(refusal, refusal == SERVICE_UNAVAILABLE ? List.of(RETRY_AFTER) : List.of(), new byte[0]);
        }
    }

    /** Closes the connection after the response, whatever has arrived after the request. */
    void closeInAnyCase() {
        closeAfter = true;
    }

    boolean isComplete() {
        return complete;
    }

    void connectionClosed() {
        disconnected = true;
        input.remove(this);
        Runnable action = disconnectAction;
        if (!finished && action != null) {
            disconnectAction = null;
            action.run();
        }
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String target() {
        return hasQuery ? path + "?" + query : path;
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
    public long ageMs() {
        return state.elapsedMs(arrivedMs);
    }

    @Override
    public boolean callerGone() {
        return disconnected || !connection.isOpen();
    }

    @Override
    public void onCallerGone(Runnable action) {
        disconnectAction = action;
        if (disconnected) {
            connectionClosed();
        }
    }

    @Override
    public void afterPendingInput(Runnable action) {
        state.afterPendingInput(action);
    }

    @Override
    public void reply(int status, List<Header> responseHeaders, byte[] bytes) {
        if (started) {
            throw new IllegalStateException("The request has already been answered.");
        }
        HttpResponsePacket response = responseHead(status, responseHeaders);
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
    public void start(int status, List<Header> responseHeaders) {
        if (started) {
            throw new IllegalStateException("The request has already been answered.");
        }
        delimitedByClose = head.getProtocol() != Protocol.HTTP_1_1;
        if (delimitedByClose) {
            closeAfter = true;
            CloseMode.set(connection, CloseMode.RESET);
        }
        // The head is sent with the first part: an empty chunk would terminate the chunked body.
        responseHead(status, responseHeaders).setChunked(!delimitedByClose);
    }

    private HttpResponsePacket responseHead(int status, List<Header> responseHeaders) {
        started = true;
        HttpResponsePacket response = head.getResponse();
        response.setAcknowledgement(false);
        response.setStatus(HttpStatus.getHttpStatus(Math.max(status, FIRST_FINAL_STATUS)));
        responseHeaders.forEach(h -> HeaderCopy.add(h, response));
        closeAfter |= closeIfLast && !state.hasWaiting();
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
        int bytes = length + FRAMING_BYTES;
        state.queued(bytes);
        // A write fails only if the connection is closed, which handleClose reports.
        Writes.write(connection, content, () -> written(bytes), failure -> written(bytes));
    }

    private void written(int length) {
        unsent.addAndGet(-length);
        closeIfEnded();
    }

    @Override
    public long unsentBytes() {
        return unsent.get();
    }

    @Override
    public void end() {
        if (delimitedByClose) {
            finish();
            ended = true;
            closeIfEnded();
            return;
        }
        write(HttpContent.builder(head.getResponse()).last(true).build(), 0);
        finish();
    }

    private void finish() {
        finished = true;
        input.remove(this);
        disconnectAction = null;
        if (!closeAfter && !(closeIfLast && !state.hasWaiting())) {
            state.requestFinished(beginNext);
        } else {
            state.discardInput();
            state.requestFinished(beginNext);
            if (!delimitedByClose) {
                connection.closeSilently();
            }
        }
    }

    /** Closes the connection in order once a response that ends with it has been written in full. */
    private void closeIfEnded() {
        if (ended && unsent.get() == 0) {
            CloseMode.set(connection, CloseMode.ORDERLY);
            connection.closeSilently();
        }
    }

    @Override
    public void cut() {
        finished = true;
        input.remove(this);
        disconnectAction = null;
        connection.terminateSilently();
    }

    @Override
    public void closeAfterAnswer() {
        closeIfLast = true;
    }
}
