package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.core.admission.ArrivalEstimate;
import io.hornbeamfield.core.time.MonotonicClock;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Clock;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.SelectorRunner;

/** Selects connections with input, and estimates for each selector thread when its input arrived. */
final class ArrivalSelector extends DefaultSelectorHandler {
    private final Clock clock = MonotonicClock.start();
    private final Map<SelectorRunner, ArrivalEstimate> estimates = new ConcurrentHashMap<>();

    ArrivalSelector() {
        super(ArrivalEstimate.MAX_LOOK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        estimate(runner).looking();
        return super.select(runner);
    }

    private ArrivalEstimate estimate(SelectorRunner runner) {
        return estimates.computeIfAbsent(runner, r -> new ArrivalEstimate(clock));
    }

    /** Returns the estimated arrival of input that is being read from a connection. */
    long arrivedMs(Connection<?> connection) {
        return estimate(((NIOConnection) connection).getSelectorRunner()).arrivedMs();
    }

    /** Returns the time since an estimated arrival. */
    long elapsedMs(long arrivedMs) {
        return clock.millis() - arrivedMs;
    }
}
