package io.hornbeamfield.router.traffic.internal;

/** Bounds the retries at other backend servers in proportion to the requests. */
interface Retries {
    /** Counts a new request. */
    void requestStarted();

    /** Takes one retry from the budget, if there is one. */
    boolean tryRetry();
}
