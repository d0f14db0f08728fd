package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.net.relay.InboundRequest;
import java.time.Clock;
import java.util.OptionalLong;

/** The part of a stream that its caller has received; it may come from several servers. */
final class ForwardedStream {
    private final InboundRequest request;
    private final Clock clock;
    private final long arrivedMs;
    private boolean started;
    private long lastEventId = -1;
    private long events;
    private long firstEventMs = -1;

    ForwardedStream(InboundRequest request, Clock clock) {
        this.request = request;
        this.clock = clock;
        this.arrivedMs = clock.millis();
    }

    boolean started() {
        return started;
    }

    /** Returns the id of the last forwarded event, negative if there is none. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns the number of forwarded events. */
    long events() {
        return events;
    }

    /** Returns the time from the request to the start of the stream, negative if it has not started. */
    long firstEventMs() {
        return firstEventMs;
    }

    /** Sends the head of the server's answer unless another server's has been sent. */
    void start(Attempt source) {
        if (!started) {
            started = true;
            firstEventMs = clock.millis() - arrivedMs;
            request.start(source.status(), Responses.endToEnd(source.headers()));
        }
    }

    /** Forwards an event unless its caller has it, and returns whether it was forwarded. */
    boolean forward(Attempt source, OptionalLong id, byte[] event) {
        if (id.isPresent() && id.getAsLong() <= lastEventId) {
            return false;
        }
        start(source);
        id.ifPresent(i -> lastEventId = i);
        events++;
        request.write(event);
        return true;
    }
}
