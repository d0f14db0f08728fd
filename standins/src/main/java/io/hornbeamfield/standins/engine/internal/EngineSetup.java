package io.hornbeamfield.standins.engine.internal;

import java.time.Clock;
import java.time.Duration;
import java.util.List;

/** Parameters of a simulated engine. */
public record EngineSetup(
        String address,
        List<String> models,
        BatchTiming timing,
        int waitingLimit,
        long cacheTokens,
        Duration loadLag,
        Duration cacheEventLag,
        double cacheEventGaps,
        boolean checksFencing,
        Duration modelLoad,
        long seed,
        Clock clock) {}
