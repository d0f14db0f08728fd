package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ServerState;

/**
 * The platform object {@code routers/<instanceId>}. Its router renews it periodically with an incremented renewal
 * counter; an object that stays unchanged belongs to a router that is gone.
 */
record RouterStatus(
        String incarnation,
        String instanceId,
        String zone,
        String callerAddress,
        String peerAddress,
        String adminAddress,
        ServerState state,
        long renewals) {
    static final String PREFIX = "routers/";

    RouterStatus renewed(ServerState newState) {
        return new RouterStatus(
                incarnation, instanceId, zone, callerAddress, peerAddress, adminAddress, newState, renewals + 1);
    }

    String key() {
        return PREFIX + instanceId;
    }
}
