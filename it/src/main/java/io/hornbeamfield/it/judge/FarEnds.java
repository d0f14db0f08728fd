package io.hornbeamfield.it.judge;

import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.service.ServiceRecord;
import java.util.List;
import java.util.Map;

/**
 * What the far ends recorded: all engine runs, all service runs, all bills in all ledgers, the grants of each budget
 * over time and the tokens that a service call costs.
 */
public record FarEnds(
        List<EngineRecord> engineRuns,
        List<ServiceRecord> serviceRuns,
        List<LedgerRecord.Bill> bills,
        Map<String, GrantHistory> grants,
        long tokensPerCall) {

    public FarEnds {
        engineRuns = List.copyOf(engineRuns);
        serviceRuns = List.copyOf(serviceRuns);
        bills = List.copyOf(bills);
        grants = Map.copyOf(grants);
    }

    /** Returns the request key that an engine request id belongs to. Routers append their attempt after a tilde. */
    public static String keyOf(EngineRecord run) {
        int tilde = run.requestId().indexOf('~');
        return tilde < 0 ? run.requestId() : run.requestId().substring(0, tilde);
    }

    /** Returns the tokens that an engine really read and produced. */
    public static long tokensOf(EngineRecord run) {
        return (long) run.promptTokens() + run.completionTokens();
    }
}
