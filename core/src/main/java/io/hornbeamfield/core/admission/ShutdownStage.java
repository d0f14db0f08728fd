package io.hornbeamfield.core.admission;

/** What an instance still does with requests, in the order of a graceful shutdown. */
public enum ShutdownStage {
    /** The instance is not shutting down. */
    RUNNING,

    /** Requests are still accepted. */
    ACCEPTING,

    /** Requests that have not been sent to a server are refused; the others go on, and may be sent again. */
    REFUSING,

    /** Nothing is sent to a server any more; answers in progress go on. */
    COMPLETING,

    /** Requests in progress are ended. */
    ENDED;

    /** Returns whether a request may be sent to a server, given whether it has been sent to one before. */
    public boolean allowsSending(boolean sentBefore) {
        return !isAtLeast(sentBefore ? COMPLETING : REFUSING);
    }

    /** Returns whether the shutdown has reached the given stage. */
    public boolean isAtLeast(ShutdownStage stage) {
        return compareTo(stage) >= 0;
    }
}
