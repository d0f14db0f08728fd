package io.hornbeamfield.entry.traffic;

import com.codahale.metrics.Histogram;
import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.Candidate;
import io.hornbeamfield.core.placement.EngineEstimates;
import io.hornbeamfield.core.placement.EnginePlacement;
import io.hornbeamfield.core.placement.PrefixPlacement;
import io.hornbeamfield.core.placement.PrefixPlacement.Choice;
import io.hornbeamfield.core.placement.PrefixPlacement.Prompt;
import io.hornbeamfield.core.route.EngineSpec;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.platform.RequestHead;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Selects the placement policy of each engine service, and keeps what has been learned of its engines. */
final class EnginePolicies {
    /** Engines whose learned speed is below this share of the median are counted as slow. */
    private static final double SLOW = 0.8;

    /** Engines whose learned speed is above this multiple of the median are counted as fast. */
    private static final double FAST = 1.25;

    private final Clock clock;
    private final Blackboard blackboard;
    private final boolean contention;
    private final String zone;
    private final Histogram error;
    private final Map<String, Service> services = new HashMap<>();
    private final AtomicLong slow = new AtomicLong();
    private final AtomicLong typical = new AtomicLong();
    private final AtomicLong fast = new AtomicLong();
    private final AtomicLong weighing = new AtomicLong();

    private record Service(EngineEstimates estimates, PrefixPlacement placement) {}

    /** A selected engine, and who learns from the attempt there. */
    record Selection(Candidate engine, StreamObserver observer) {}

    EnginePolicies(Clock clock, Blackboard blackboard, boolean contention, String zone, Metrics metrics) {
        this.clock = clock;
        this.blackboard = blackboard;
        this.contention = contention;
        this.zone = zone;
        this.error = metrics.histogram("engines.estimate-error-ms");
        metrics.gauge("engines.slow", slow::get);
        metrics.gauge("engines.typical", typical::get);
        metrics.gauge("engines.fast", fast::get);
        metrics.gauge("engines.weighed-services", weighing::get);
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, n -> {
            EngineEstimates estimates = new EngineEstimates(clock);
            return new Service(estimates, new PrefixPlacement(clock, estimates, new Random()));
        });
    }

    private boolean weighs(Service s) {
        return s.estimates().isKnown() && (contention || s.estimates().isUneven());
    }

    private static Prompt prompt(RequestHead head) {
        return new Prompt(head.sharedPrefixId(), head.sharedTokens(), head.promptTokens(), head.maxOutputTokens());
    }

    /** Returns why no engine of the service can hold the request, empty if one can. */
    Optional<String> sizeError(String service, Optional<ServiceSpec> spec, RequestHead head) {
        long max =
                spec.flatMap(ServiceSpec::engine).map(EngineSpec::cacheTokens).orElse(0L);
        boolean enforced = max > 0 && (contention || weighs(service(service)));
        return !enforced || prompt(head).fits(max)
                ? Optional.empty()
                : Optional.of("The prompt has " + head.promptTokens() + " tokens and the output up to "
                        + head.maxOutputTokens() + ", but an engine holds " + max
                        + " tokens. Shorten the prompt or the output.");
    }

    /** Selects an engine and records that the request is sent there. */
    Optional<Selection> select(
            String name,
            EngineSpec spec,
            RequestHead head,
            List<Candidate> candidates,
            Function<String, BackendServer> server) {
        Service s = service(name);
        candidates.forEach(
                c -> s.estimates().incarnation(c.id(), server.apply(c.id()).startedAtMs()));
        Prompt prompt = prompt(head);
        int instances = blackboard.instanceCount();
        Optional<Choice> choice = weighs(s)
                ? s.placement()
                        .choose(
                                prompt,
                                candidates,
                                spec.cacheTokens(),
                                instances,
                                id -> server.apply(id).zone().equals(zone))
                : EnginePlacement.choose(prompt.prefixId(), prompt.sharedTokens(), candidates, instances)
                        .map(c -> s.placement().estimate(prompt, c, candidates, spec.cacheTokens(), instances));
        return choice.map(c -> {
            s.placement().sent(prompt, c.engine().id());
            return new Selection(c.engine(), new EngineStreamObserver(s.estimates(), prompt, c, error));
        });
    }

    /** Drops what is known of servers that are not listed any more, and updates the metrics. */
    void tick() {
        services.keySet()
                .removeIf(n -> blackboard.config().flatMap(c -> c.service(n)).isEmpty());
        services.forEach((name, s) -> s.estimates()
                .retain(blackboard.servers(name).stream().map(BackendServer::id).collect(Collectors.toSet())));
        slow.set(count(0, SLOW));
        typical.set(count(SLOW, FAST));
        fast.set(count(FAST, Double.POSITIVE_INFINITY));
        weighing.set(services.values().stream().filter(this::weighs).count());
    }

    private long count(double from, double below) {
        return services.values().stream()
                .mapToLong(s -> s.estimates().countBySpeed(from, below))
                .sum();
    }
}
