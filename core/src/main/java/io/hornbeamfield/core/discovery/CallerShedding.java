package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.OptionalDouble;

/**
 * Decides after which responses a busy instance closes the connection of their caller, so that the caller looks up
 * addresses again. Addresses affect only new connections, and callers of a busy workspace keep theirs for many
 * requests. The rate is a share of the open connections, so that the load leaves over some seconds and the reported
 * loads can follow. Not thread-safe.
 */
public final class CallerShedding {
    private static final double BUSY_LOAD = 0.85;
    private static final double NOT_BUSY_LOAD = 0.7;

    /** If the others are as busy, closing connections only adds work. */
    private static final double MIN_DIFFERENCE = 0.1;

    /** Share of the open connections that is closed in a second. */
    private static final double SHARE_PER_SECOND = 0.06;

    private static final double MAX_PER_SECOND = 20;
    private static final double MAX_BURST = 2;

    private final Clock clock;
    private final InstanceLoads loads;
    private boolean busy;
    private double allowance;
    private long updatedMs;

    public CallerShedding(Clock clock, InstanceLoads loads) {
        this.clock = clock;
        this.loads = loads;
        updatedMs = clock.millis();
    }

    /**
     * Returns whether the connection of the next response is to be closed.
     *
     * @param connections number of open connections of callers
     */
    public boolean closeNext(int connections) {
        long now = clock.millis();
        double perSecond = Math.min(MAX_PER_SECOND, SHARE_PER_SECOND * connections);
        allowance = Math.min(MAX_BURST, allowance + perSecond * (now - updatedMs) / 1_000);
        updatedMs = now;
        OptionalDouble own = loads.own();
        OptionalDouble others = loads.meanOfOthers();
        busy = own.isPresent() && own.getAsDouble() >= (busy ? NOT_BUSY_LOAD : BUSY_LOAD);
        boolean othersHaveRoom = others.isPresent() && others.getAsDouble() <= own.orElse(0) - MIN_DIFFERENCE;
        if (!busy || !othersHaveRoom) {
            allowance = Math.min(allowance, 1);
            return false;
        }
        if (allowance < 1) {
            return false;
        }
        allowance -= 1;
        return true;
    }
}
