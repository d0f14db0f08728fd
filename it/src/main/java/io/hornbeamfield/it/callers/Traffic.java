package io.hornbeamfield.it.callers;

import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Traffic at a steady rate that does not wait for answers: random workspaces, answer lengths and, for a share of the
 * requests, a non-repeatable service call.
 *
 * <pre>{@code
 * try (Traffic traffic = Traffic.start(callers, 100, "shop", "/orders", 7)) {
 *     Waits.sleep(Duration.ofSeconds(5));
 * }
 * }</pre>
 */
public final class Traffic implements AutoCloseable {
    private static final double CALL_SHARE = 0.2;
    private static final int MIN_TOKENS = 8;
    private static final int MAX_TOKENS = 96;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "traffic");
        t.setDaemon(true);
        return t;
    });
    private final Random random;

    private Traffic(long seed) {
        random = new Random(seed);
    }

    /** Starts to send. */
    public static Traffic start(Callers callers, double perSecond, String pool, String path, long seed) {
        return start(callers, callers.workspaces(), perSecond, pool, path, seed);
    }

    /** Starts to send for some of the workspaces. */
    public static Traffic start(
            Callers callers, List<String> workspaces, double perSecond, String pool, String path, long seed) {
        Traffic traffic = new Traffic(seed);
        long period = (long) (1e9 / perSecond);
        traffic.timer.scheduleAtFixedRate(
                () -> traffic.sendOne(callers, workspaces, pool, path), 0, period, TimeUnit.NANOSECONDS);
        return traffic;
    }

    private void sendOne(Callers callers, List<String> workspaces, String pool, String path) {
        String workspace = workspaces.get(random.nextInt(workspaces.size()));
        if (random.nextDouble() < CALL_SHARE) {
            callers.call(workspace, pool, path);
        } else {
            callers.chat(workspace, MIN_TOKENS + random.nextInt(MAX_TOKENS - MIN_TOKENS));
        }
    }

    /** Stops to send; requests that were sent go on. */
    @Override
    public void close() {
        timer.shutdownNow();
    }
}
