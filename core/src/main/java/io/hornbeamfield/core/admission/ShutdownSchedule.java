package io.hornbeamfield.core.admission;

/**
 * Times of a graceful shutdown, in milliseconds after its start. All of them follow from the grace period, at whose end
 * the process is killed.
 *
 * <pre>{@code
 * ShutdownSchedule schedule = ShutdownSchedule.of(8_000);
 * schedule.stageAt(3_000); // REFUSING
 * }</pre>
 *
 * @param refuseMs from here on, requests that have not been sent to a server are refused
 * @param completeMs from here on, nothing is sent to a server
 * @param endMs requests in progress are ended here
 * @param exitMs the process stops listening here at the latest
 */
public record ShutdownSchedule(long refuseMs, long completeMs, long endMs, long exitMs) {
    /** Callers have learned other addresses by then. */
    private static final long MAX_ACCEPT_MS = 2_800;

    /** Leaves most of a short grace period to the requests that were accepted. */
    private static final double ACCEPT_SHARE = 0.35;

    /** A server that gets a request in the last sixth of the grace period rarely completes it. */
    private static final double SEND_SHARE = 5.0 / 6;

    /** Time for returning tokens and transmitting the last responses. */
    private static final long MAX_RESERVE_MS = 700;

    /** Requests are ended in the last sixth of the grace period, not before. */
    private static final double RESERVE_SHARE = 0.1;

    /** Returns the schedule for a grace period in milliseconds. */
    public static ShutdownSchedule of(long graceMs) {
        long reserveMs = (long) Math.min(MAX_RESERVE_MS, graceMs * RESERVE_SHARE);
        return new ShutdownSchedule(
                (long) Math.min(MAX_ACCEPT_MS, graceMs * ACCEPT_SHARE),
                (long) (graceMs * SEND_SHARE),
                graceMs - reserveMs,
                graceMs - reserveMs / 2);
    }

    /** Returns the stage at a time after the start of the shutdown. */
    public ShutdownStage stageAt(long elapsedMs) {
        if (elapsedMs >= endMs) {
            return ShutdownStage.ENDED;
        } else if (elapsedMs >= completeMs) {
            return ShutdownStage.COMPLETING;
        }
        return elapsedMs >= refuseMs ? ShutdownStage.REFUSING : ShutdownStage.ACCEPTING;
    }
}
