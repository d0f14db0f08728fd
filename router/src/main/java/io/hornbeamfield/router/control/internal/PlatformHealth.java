package io.hornbeamfield.router.control.internal;

/**
 * Tracks whether the last budget call to the platform failed. Shared by all budgets, so that one learns of an outage
 * from the calls of another.
 */
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
