package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.metrics.Metrics;
import java.time.Clock;

/** What the requests of one instance share. */
record TrafficParts(
        Clock clock,
        Timers timers,
        Blackboard blackboard,
        PrepaidHoldings book,
        PrepaidQueue prepaid,
        ServerLinks links,
        RetryShares retries,
        Metrics metrics,
        EventLog log) {}
