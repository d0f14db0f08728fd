package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.core.attempt.InputAllowance;
import io.hornbeamfield.core.attempt.KeepAliveTimeout;
import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.OutboundListener;
import io.hornbeamfield.net.relay.OutboundRequest;
import io.hornbeamfield.platform.ServerNotice;
import io.hornbeamfield.platform.ServerRate;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** One attempt to have a request served by one backend server. */
final class Attempt implements ServerConnectionPool.Listener, OutboundListener {
    /** A larger response cannot be buffered until it is complete. */
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

    /** Bounds the number of parts of a buffered response to some thousands. */
    private static final int BODY_PART_COST_BYTES = 1_024;

    /** Status with which a full server declines a request. */
    private static final int UNAVAILABLE = 503;

    /** A server that crashes when it starts an answer may have sent some events of it. */
    private static final long ANSWER_START_MS = 500;

    private final ServerConnectionPool pool;
    private final String attemptId;
    private final long promptTokens;
    private final long stallTimeoutMs;
    private final Supplier<Optional<OutboundRequest>> request;
    private final StreamObserver observer;
    private final Listener listener;
    private final InputAllowance bodyAllowance = new InputAllowance(MAX_BUFFERED_BYTES, BODY_PART_COST_BYTES);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private BackendServer server;
    private @Nullable OutboundConnection connection;
    private boolean reused;
    private long coldPlaceMs;
    private boolean sent;
    private boolean connectionLost;
    private boolean withheld;
    private boolean done;
    private boolean promptRead;
    private boolean streaming;
    private AnswerHead head = AnswerHead.NONE;
    private boolean isStream;
    private boolean excessive;
    private long firstEventMs;
    private long lastEventMs;

    /** Receives the events of an attempt. */
    interface Listener {
        /** Runs an action unless the attempt is cancelled first, because its caller turns out to have left. */
        void whileCallerWaits(Runnable action);

        /** Returns whether a successful answer is a stream whose events may be forwarded as they arrive. */
        boolean isStream(List<Header> answerHeaders);

        /** A part of a successful stream has arrived. */
        void onStreamData(Attempt attempt, byte[] part);

        /** A part of an answer that is not forwarded as it arrives was collected. */
        void onBodyData(int bytes);

        /**
         * The server is silent, or the stream has had no event for too long; the attempt continues unless the listener
         * ends it.
         */
        void onServerSilent(Attempt attempt);

        /** Other requests may be refused because of the parts of their prompts from now on. */
        void onQuarantineChange(Attempt attempt);

        /** The attempt has ended. */
        void onAttemptEnd(Attempt attempt, AttemptOutcome end, String reason);
    }

    Attempt(
            ServerConnectionPool pool,
            String attemptId,
            long promptTokens,
            long stallTimeoutMs,
            Supplier<Optional<OutboundRequest>> request,
            StreamObserver observer,
            Listener listener) {
        this.pool = pool;
        this.server = pool.server();
        this.attemptId = attemptId;
        this.promptTokens = promptTokens;
        this.stallTimeoutMs = stallTimeoutMs;
        this.request = request;
        this.observer = observer;
        this.listener = listener;
    }

    void start(int maxConnections) {
        coldPlaceMs = pool.requestStarted(this, promptTokens);
        pool.acquire(maxConnections, this);
    }

    ServerConnectionPool pool() {
        return pool;
    }

    boolean sent() {
        return sent;
    }

    /** Returns the server as it was registered when the request was sent. */
    BackendServer server() {
        return server;
    }

    /** Returns whether this instance did not try to reach the server, so that the server is not at fault. */
    boolean isWithheld() {
        return withheld;
    }

    /** Returns whether the connection ended before the answer was complete, as it does if the server restarts. */
    boolean isConnectionLost() {
        return connectionLost;
    }

    int status() {
        return head.status();
    }

    List<Header> headers() {
        return head.headers();
    }

    /** Returns the time after which the server asks for the request to be sent again, 0 if it names none. */
    long retryAfterMs() {
        return head.retryAfterMs();
    }

    int bodyBytes() {
        return body.size();
    }

    byte[] body() {
        return body.toByteArray();
    }

    /** Returns whether the answer is a stream whose events are forwarded as they arrive. */
    boolean isStream() {
        return isStream;
    }

    @Override
    public void onConnection(OutboundConnection c, boolean connectionReused) {
        if (connectionReused) {
            send(c, true);
        } else {
            // Opening it took a while.
            listener.whileCallerWaits(() -> send(c, false));
        }
    }

    private void send(OutboundConnection c, boolean connectionReused) {
        if (done) {
            pool.discard(c);
            return;
        }
        if (pool.isClosedToRequests()) {
            withheld = true;
            pool.discard(c);
            end(AttemptOutcome.NOT_CONNECTED, "the server takes no new requests");
            return;
        }
        if (!pool.maySend(coldPlaceMs)) {
            withheld = true;
            pool.release(c, 0);
            end(AttemptOutcome.NOT_CONNECTED, "the server is cold and this instance has sent its share");
            return;
        }
        Optional<OutboundRequest> outbound = request.get();
        if (outbound.isEmpty()) {
            withheld = true;
            pool.release(c, 0);
            end(AttemptOutcome.NOT_CONNECTED, "too little time is left, or the server is now of another version");
            return;
        }
        server = pool.server();
        connection = c;
        reused = connectionReused;
        sent = true;
        pool.recordSent();
        observer.sent(pool.nowMs());
        c.send(outbound.get(), this);
    }

    @Override
    public void onUnavailable(String reason, boolean tried) {
        withheld = !tried;
        end(AttemptOutcome.NOT_CONNECTED, reason);
    }

    @Override
    public void onHead(int answerStatus, List<Header> answerHeaders) {
        pool.recordReceived();
        pool.recordRate(ServerRate.of(answerHeaders));
        ServerNotice notice = ServerNotice.of(answerStatus, answerHeaders);
        pool.recordNotice(server, notice);
        head = AnswerHead.of(answerStatus, answerHeaders, attemptId, reused);
        if (isDeclined() && answerStatus == UNAVAILABLE && !notice.leaving()) {
            observer.refused();
        }
        head.fault().ifPresent(fault -> discardAndEnd(AttemptOutcome.BROKEN, fault));
        isStream = !done && head.isSuccess() && listener.isStream(answerHeaders);
    }

    private boolean isDeclined() {
        return head.outcome() == AttemptOutcome.DECLINED;
    }

    @Override
    public void onData(byte[] part) {
        if (done) {
            return;
        }
        pool.recordReceived();
        if (isStream) {
            if (!streaming) {
                streaming = true;
                pool.streamStarted();
            }
            markPromptRead();
            listener.onStreamData(this, part);
        } else if (!bodyAllowance.charge(part.length)) {
            endAsExcessive("the response exceeds " + MAX_BUFFERED_BYTES + " bytes: got " + (body.size() + part.length)
                    + ", each part counted with " + BODY_PART_COST_BYTES + " more");
        } else {
            body.writeBytes(part);
            listener.onBodyData(part.length);
        }
    }

    @Override
    public void onEnd(boolean reusable) {
        OutboundConnection c = connection;
        if (done || c == null) {
            return;
        }
        if (reusable) {
            pool.release(c, idleLimitMs());
        } else {
            pool.discard(c);
        }
        connection = null;
        end(head.outcome(), head.describe());
    }

    @Override
    public void onBroken(String reason) {
        if (!done) {
            connectionLost = !isDeclined();
            discardAndEnd(isDeclined() ? AttemptOutcome.DECLINED : AttemptOutcome.BROKEN, reason);
        }
    }

    @Override
    public void onExcessiveInput(String reason) {
        endAsExcessive(reason);
    }

    /** Cancels the attempt without notifying the listener. */
    void cancel() {
        if (!done) {
            discardConnection();
            markDone();
        }
    }

    /** Records that a new event of the stream arrived. */
    void recordEvent(long nowMs) {
        observer.event(nowMs);
        if (lastEventMs > 0) {
            pool.eventGap().record(nowMs - lastEventMs);
        }
        firstEventMs = firstEventMs == 0 ? nowMs : firstEventMs;
        lastEventMs = nowMs;
    }

    /** Returns whether the server has outlived the start of the answer, so that this request does not crash it. */
    boolean hasOutlivedStart(long nowMs) {
        return firstEventMs > 0 && nowMs - firstEventMs >= ANSWER_START_MS;
    }

    /** Returns the time of the last whole event, or 0 if none has arrived. */
    long lastEventMs() {
        return lastEventMs;
    }

    /** Returns whether the stream has started and had no whole event for longer than its caller should wait. */
    boolean isStalled(long nowMs) {
        return lastEventMs > 0 && nowMs - lastEventMs > stallTimeoutMs;
    }

    /** Ends the attempt because the server sends more than a valid response can have. */
    void endAsExcessive(String reason) {
        if (!done) {
            excessive = true;
            discardAndEnd(AttemptOutcome.BROKEN, reason);
        }
    }

    /** Returns whether the server sent more than a valid response can have; it is alive then. */
    boolean isExcessive() {
        return excessive;
    }

    void reportQuarantineChange() {
        if (!done) {
            listener.onQuarantineChange(this);
        }
    }

    void reportServerSilent() {
        if (!done) {
            listener.onServerSilent(this);
        }
    }

    /** Ends the attempt because the server is silent. */
    void endAsSilent(String reason) {
        if (!done) {
            discardAndEnd(sent ? AttemptOutcome.SILENT : AttemptOutcome.NOT_CONNECTED, reason);
        }
    }

    private void discardAndEnd(AttemptOutcome end, String reason) {
        discardConnection();
        end(end, reason);
    }

    private void discardConnection() {
        OutboundConnection c = connection;
        if (c != null) {
            connection = null;
            pool.discard(c);
        }
    }

    private void end(AttemptOutcome end, String reason) {
        if (!done) {
            markDone();
            listener.onAttemptEnd(this, end, reason);
        }
    }

    private void markDone() {
        done = true;
        markPromptRead();
        pool.requestEnded(this, sent, streaming);
    }

    private void markPromptRead() {
        if (!promptRead) {
            promptRead = true;
            pool.promptRead(promptTokens);
        }
    }

    private long idleLimitMs() {
        return KeepAliveTimeout.ms(Header.find(head.headers(), "Keep-Alive").orElse(""));
    }
}
