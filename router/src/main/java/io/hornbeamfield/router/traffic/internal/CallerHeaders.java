package io.hornbeamfield.router.traffic.internal;

/** Names of the headers that callers and relaying routers send. */
final class CallerHeaders {
    static final String KEY = "Idempotency-Key";
    static final String BUDGET = "Hornbeamfield-Budget";
    static final String DEADLINE = "Hornbeamfield-Deadline-Ms";
    static final String PRIORITY = "Hornbeamfield-Priority";
    static final String FROM = "Hornbeamfield-From";
    /** Names the router that runs a request. An offset is valid only within the run that produced it. */
    static final String RUN = "Hornbeamfield-Run";

    static final String RELAY = "Hornbeamfield-Relay";

    private CallerHeaders() {}
}
