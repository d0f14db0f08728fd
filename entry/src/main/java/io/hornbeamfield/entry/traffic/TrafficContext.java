package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.route.ConfigFreshness;
import io.hornbeamfield.core.route.ZoneRegions;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.metrics.Metrics;
import java.time.Clock;

/** Dependencies shared by all requests of an instance. */
record TrafficContext(
        Clock clock,
        Timers timers,
        Blackboard blackboard,
        ConfigFreshness configFreshness,
        PrepaidHoldings book,
        PrepaidQueue prepaidQueue,
        ServerConnectionPools pools,
        EnginePolicies engines,
        RetryBudgets retries,
        RefusalBackoffs refusals,
        BufferPool buffers,
        ZoneRegions zoneRegions,
        PartActivity partActivity,
        CrashListener crashListener,
        StreamOrigins origins,
        Metrics metrics,
        EventLog log) {}
