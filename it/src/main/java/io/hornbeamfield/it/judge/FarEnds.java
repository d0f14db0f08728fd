package io.hornbeamfield.it.judge;

import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.standins.engine.ChatMessage;
import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.engine.ReplyText;
import io.hornbeamfield.standins.service.ServiceRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the far ends recorded: all engine runs, all service runs, all bills in all ledgers, the grants of each budget
 * over time and the tokens that a service call costs. A caller does not learn the keys that its library uses, so a
 * request is identified by its content: each model request has a prompt of its own and each service call a path.
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

    /** Returns the id of a model request. */
    public static String idOf(String workspace, List<ChatMessage> messages) {
        return workspace + ":" + ReplyText.identity(workspace, messages);
    }

    static String idOf(EngineRecord run) {
        return run.workspace() + ":" + run.identity();
    }

    static String idOf(ServiceRecord run) {
        return run.path();
    }

    /** Returns the request id of a run in ledgers. Routers append their attempt to the key after a tilde. */
    static String ledgerIdOf(EngineRecord run) {
        int tilde = run.requestId().indexOf('~');
        String key = tilde < 0 ? run.requestId() : run.requestId().substring(0, tilde);
        return key + "/" + run.workspace();
    }

    static String ledgerIdOf(ServiceRecord run) {
        return run.key() + "/" + run.workspace();
    }

    static long tokensOf(EngineRecord run) {
        return (long) run.promptTokens() + run.completionTokens();
    }

    /** Returns the keys, each with its workspace as in ledgers, under which each request ran, by request id. */
    Map<String, Set<String>> keysById() {
        Map<String, Set<String>> keys = new HashMap<>();
        engineRuns.forEach(
                run -> keys.computeIfAbsent(idOf(run), id -> new TreeSet<>()).add(ledgerIdOf(run)));
        serviceRuns.forEach(
                run -> keys.computeIfAbsent(idOf(run), id -> new TreeSet<>()).add(ledgerIdOf(run)));
        return keys;
    }
}
