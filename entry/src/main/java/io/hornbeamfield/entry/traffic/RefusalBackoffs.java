package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.admission.RefusalBackoff;
import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Retry delays of each service whose servers cannot take all requests. */
final class RefusalBackoffs {
    private final Clock clock;
    private final Map<String, RefusalBackoff> backoffs = new HashMap<>();

    RefusalBackoffs(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that a request was refused for lack of a server and returns the delay for its caller.
     *
     * @param earliestMs time until a server takes requests again, 0 if one takes them now or it is not known
     */
    long delayMs(String service, long remainingMs, long earliestMs) {
        return backoffs.computeIfAbsent(service, s -> new RefusalBackoff(clock))
                .delayMs(remainingMs, earliestMs, ThreadLocalRandom.current());
    }
}
