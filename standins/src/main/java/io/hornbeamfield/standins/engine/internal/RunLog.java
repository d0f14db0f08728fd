package io.hornbeamfield.standins.engine.internal;

import io.hornbeamfield.standins.engine.EngineRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** All runs in the order of their arrival. A request that is sent twice has two runs; the id names the last one. */
final class RunLog {
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Run> byRequest = new HashMap<>();

    synchronized void add(Run run) {
        runs.add(run);
        byRequest.put(run.request().id(), run);
    }

    synchronized Optional<Run> find(String requestId) {
        return Optional.ofNullable(byRequest.get(requestId));
    }

    synchronized List<EngineRecord> records() {
        return runs.stream().map(Run::record).toList();
    }
}
