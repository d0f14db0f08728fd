package io.hornbeamfield.router.control.internal;

/** Whether the last answer to a budget call was a failure. One budget learns it from the calls of another. */
final class PlatformHealth {
    private boolean unavailable;

    void succeeded() {
        unavailable = false;
    }

    void failed() {
        unavailable = true;
    }

    boolean isUnavailable() {
        return unavailable;
    }
}
