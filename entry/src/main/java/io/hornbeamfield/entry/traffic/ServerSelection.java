package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.placement.Candidate;
import io.hornbeamfield.core.placement.EnginePlacement;
import io.hornbeamfield.core.placement.ServicePlacement;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.platform.RequestHead;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Selects the server for an attempt by the placement policy of its service. */
final class ServerSelection {
    private ServerSelection() {}

    static Optional<ServerConnectionPool> select(
            List<ServerConnectionPool> usable, Optional<ServiceSpec> spec, RequestHead head, int instances) {
        List<Candidate> candidates = usable.stream()
                .map(l -> new Candidate(
                        l.server().id(),
                        l.server().slots(),
                        l.outstanding(),
                        l.queuedPromptTokens(),
                        l.eventGap().meanMs()))
                .toList();
        boolean engine = spec.flatMap(ServiceSpec::engine).isPresent();
        Optional<Candidate> selected = engine
                ? EnginePlacement.choose(head.sharedPrefixId(), head.sharedTokens(), candidates, instances)
                : ServicePlacement.choose(candidates, ThreadLocalRandom.current());
        return selected.flatMap(
                c -> usable.stream().filter(l -> l.server().id().equals(c.id())).findFirst());
    }
}
