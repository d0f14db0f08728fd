package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.admission.AdmissionQueue;
import io.hornbeamfield.core.admission.RetryBudget;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.router.BackendLoad;
import io.hornbeamfield.router.BillingService;
import io.hornbeamfield.router.Blackboard;
import io.hornbeamfield.router.BudgetService;
import io.hornbeamfield.router.CrashService;
import java.time.Clock;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;

/** Dependencies of request handling on the rest of the router. */
record TrafficContext(
        String incarnation,
        Blackboard board,
        BudgetService budgets,
        BillingService billing,
        BackendLoad load,
        CrashService crashes,
        HttpClient client,
        Clock clock,
        ScheduledExecutorService timer,
        Executor pool,
        AdmissionQueue queue,
        RetryBudget retries,
        ServerSelector servers,
        Counters counters) {

    /** Returns the preset in force. Requests exist only after a configuration was adopted. */
    Preset preset() {
        return board.config()
                .orElseThrow(() -> new IllegalStateException("No configuration has been adopted yet."))
                .preset();
    }
}
