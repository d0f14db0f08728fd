package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.OutboundListener;
import io.hornbeamfield.net.relay.OutboundRequest;
import io.hornbeamfield.platform.Wire;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** One sending of a request to one backend server. */
final class Attempt implements ServerLink.Listener, OutboundListener {
    /** A larger answer cannot be held back until it is whole. */
    private static final int MAX_COLLECTED_BYTES = 8 * 1024 * 1024;

    private static final int SERVER_FAILURE = 500;

    private final ServerLink link;
    private final String attemptId;
    private final boolean streamed;
    private final long promptTokens;
    private final Supplier<OutboundRequest> request;
    private final Listener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable OutboundConnection connection;
    private boolean sent;
    private boolean done;
    private boolean promptRead;
    private boolean streaming;
    private int status;
    private List<Header> headers = List.of();
    private boolean declined;

    /** Receives what an attempt brings. */
    interface Listener {
        /** The head of a successful stream has arrived. */
        void onStreamHead(Attempt attempt);

        /** A part of a successful stream has arrived. */
        void onStreamData(Attempt attempt, byte[] part);

        /** The server says nothing to any of its requests; the attempt goes on unless the listener ends it. */
        void onServerSilent(Attempt attempt);

        /** The attempt has ended. */
        void onAttemptEnd(Attempt attempt, AttemptOutcome end, String reason);
    }

    Attempt(
            ServerLink link,
            String attemptId,
            boolean streamed,
            long promptTokens,
            Supplier<OutboundRequest> request,
            Listener listener) {
        this.link = link;
        this.attemptId = attemptId;
        this.streamed = streamed;
        this.promptTokens = promptTokens;
        this.request = request;
        this.listener = listener;
    }

    void start(int maxConnections) {
        link.requestStarted(this, promptTokens);
        link.acquire(maxConnections, this);
    }

    ServerLink link() {
        return link;
    }

    boolean sent() {
        return sent;
    }

    int status() {
        return status;
    }

    List<Header> headers() {
        return headers;
    }

    byte[] body() {
        return body.toByteArray();
    }

    private boolean passesOn() {
        return streamed && status / 100 == 2;
    }

    @Override
    public void onConnection(OutboundConnection c, boolean reused) {
        if (done) {
            link.discard(c);
            return;
        }
        connection = c;
        sent = true;
        link.requestSent();
        c.send(request.get(), this);
    }

    @Override
    public void onNone(String reason) {
        end(AttemptOutcome.NOT_CONNECTED, reason);
    }

    @Override
    public void onHead(int answerStatus, List<Header> answerHeaders) {
        link.heard();
        status = answerStatus;
        headers = answerHeaders;
        String answeredId = Header.find(answerHeaders, Wire.ATTEMPT_ID).orElse("");
        boolean signed = Header.find(answerHeaders, Wire.SIGNATURE).isPresent();
        declined = Header.find(answerHeaders, Wire.NOT_RUN).isPresent() || answerStatus == Wire.WRONG_SERVER;
        if (!declined && !answeredId.isEmpty() && !answeredId.equals(attemptId)) {
            discardAndEnd(AttemptOutcome.BROKEN, "the answer belongs to request " + answeredId);
        } else if (!declined && status / 100 == 2 && !signed) {
            discardAndEnd(AttemptOutcome.BROKEN, "the answer has no signature");
        } else if (passesOn()) {
            listener.onStreamHead(this);
        }
    }

    @Override
    public void onData(byte[] part) {
        if (done) {
            return;
        }
        link.heard();
        if (passesOn()) {
            if (!streaming) {
                streaming = true;
                link.streamStarted();
            }
            promptIsRead();
            listener.onStreamData(this, part);
        } else if (body.size() + part.length > MAX_COLLECTED_BYTES) {
            discardAndEnd(AttemptOutcome.BROKEN, "the answer is longer than " + MAX_COLLECTED_BYTES + " bytes");
        } else {
            body.writeBytes(part);
        }
    }

    @Override
    public void onEnd(boolean reusable) {
        OutboundConnection c = connection;
        if (done || c == null) {
            return;
        }
        if (reusable) {
            link.release(c, idleLimitMs());
        } else {
            link.discard(c);
        }
        connection = null;
        if (declined) {
            end(AttemptOutcome.DECLINED, "status " + status);
        } else {
            end(
                    status >= SERVER_FAILURE ? AttemptOutcome.ANSWERED_FAILURE : AttemptOutcome.ANSWERED,
                    "status " + status);
        }
    }

    @Override
    public void onBroken(String reason) {
        if (!done) {
            discardAndEnd(declined ? AttemptOutcome.DECLINED : AttemptOutcome.BROKEN, reason);
        }
    }

    /** Ends the attempt from this side; the listener is not called. */
    void abandon() {
        if (!done) {
            discardConnection();
            close();
        }
    }

    void serverSilent() {
        if (!done) {
            listener.onServerSilent(this);
        }
    }

    /** Ends the attempt because nothing arrives. */
    void giveUp(String reason) {
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
            link.discard(c);
        }
    }

    private void end(AttemptOutcome end, String reason) {
        if (!done) {
            close();
            listener.onAttemptEnd(this, end, reason);
        }
    }

    private void close() {
        done = true;
        promptIsRead();
        link.requestEnded(this, sent, streaming);
    }

    private void promptIsRead() {
        if (!promptRead) {
            promptRead = true;
            link.promptRead(promptTokens);
        }
    }

    private long idleLimitMs() {
        String keepAlive = Header.find(headers, "Keep-Alive").orElse("");
        int at = keepAlive.indexOf("timeout=");
        if (at < 0) {
            return 0;
        }
        String digits = keepAlive.substring(at + "timeout=".length()).replaceAll("\\D.*", "");
        return digits.isEmpty() ? 0 : Long.parseLong(digits) * 1_000;
    }
}
