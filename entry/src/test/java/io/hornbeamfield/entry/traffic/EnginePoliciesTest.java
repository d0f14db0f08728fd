package io.hornbeamfield.entry.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.Candidate;
import io.hornbeamfield.core.placement.EnginePlacement;
import io.hornbeamfield.core.route.CallerLimits;
import io.hornbeamfield.core.route.EngineSpec;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.core.time.ManualClock;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.platform.RequestHead;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against weighing where nothing calls for it, and against observations that do not reach the policy. */
final class EnginePoliciesTest {
    private static final int ENGINES = 12;
    private static final EngineSpec ENGINE = new EngineSpec(12, 432_341, 10);
    private static final Optional<ServiceSpec> SERVICE =
            Optional.of(new ServiceSpec("model", "/healthz", 100, Optional.of(ENGINE)));

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final Blackboard blackboard = new Blackboard();
    private final Metrics metrics = Metrics.create();
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final List<Candidate> candidates = new ArrayList<>();

    private EnginePolicies policies(boolean contention) {
        for (int i = 0; i < ENGINES; i++) {
            servers.put("e" + i, new BackendServer("e" + i, "model", "127.0.0.1:9", "north", 12, false, 1));
            candidates.add(Candidate.of("e" + i, 12, 0, 0));
        }
        blackboard.servers(Map.of("model", List.copyOf(servers.values())));
        blackboard.config(new RouteConfig(
                1, List.of(), List.of(SERVICE.orElseThrow()), new CallerLimits(1, 1, 1, 1), Optional.empty()));
        return new EnginePolicies(clock, blackboard, contention, "north", metrics);
    }

    private static RequestHead request(String prefix, long tokens) {
        List<RequestHead.PromptPart> parts =
                List.of(new RequestHead.PromptPart(prefix, 5_382), new RequestHead.PromptPart("own", tokens - 5_382));
        return new RequestHead("a1", Optional.empty(), tokens, 380, false, "", parts);
    }

    private EnginePolicies.Selection select(EnginePolicies p, String prefix) {
        return p.select(
                        "model",
                        ENGINE,
                        request(prefix, 12_000),
                        candidates,
                        id -> Optional.ofNullable(servers.get(id)).orElseThrow())
                .orElseThrow();
    }

    /** Runs a stream of 40 events. */
    private void stream(EnginePolicies.Selection s, double intervalMs) {
        s.observer().sent(clock.millis());
        for (int i = 0; i < 40; i++) {
            clock.advance(Duration.ofMillis((long) intervalMs));
            s.observer().event(clock.millis());
        }
    }

    private void learn(EnginePolicies p, double slowest, double fastest) {
        for (int i = 0; i < 40 * ENGINES; i++) {
            EnginePolicies.Selection s = select(p, "p" + i);
            int engine = Integer.parseInt(s.engine().id().substring(1));
            stream(s, 35 / (slowest + (fastest - slowest) * engine / (ENGINES - 1)));
        }
        p.tick();
    }

    private long gauge(String name) {
        return ((Number) metrics.registry().getGauges().get(name).getValue()).longValue();
    }

    @Test
    void enginesOfOneSpeedAreSelectedByFixedFiguresWithoutContention() {
        EnginePolicies p = policies(false);
        learn(p, 1, 1);
        assertThat(gauge("engines.weighed-services")).isZero();
        for (int i = 0; i < 50; i++) {
            String expected = EnginePlacement.choose("q" + i, 5_382, candidates, blackboard.instanceCount())
                    .orElseThrow()
                    .id();
            assertThat(select(p, "q" + i).engine().id()).isEqualTo(expected);
        }
    }

    @Test
    void withoutObservationsTheFixedFiguresSelectAlsoWithContention() {
        EnginePolicies p = policies(true);
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            ids.add(select(p, "p").engine().id());
        }
        assertThat(ids).hasSize(1);
    }

    @Test
    void enginesOfDifferentSpeedsAreWeighed() {
        EnginePolicies p = policies(false);
        learn(p, 0.7, 1.7);
        assertThat(gauge("engines.weighed-services")).isOne();
        assertThat(gauge("engines.slow")).isPositive();
        assertThat(gauge("engines.fast")).isPositive();
        assertThat(metrics.histogram("engines.estimate-error-ms").getCount()).isPositive();
    }

    @Test
    void anEngineThatRefusedIsAvoided() {
        EnginePolicies p = policies(true);
        learn(p, 1, 1);
        EnginePolicies.Selection full = select(p, "p");
        full.observer().refused();
        for (int i = 0; i < 20; i++) {
            assertThat(select(p, "p").engine().id()).isNotEqualTo(full.engine().id());
        }
    }

    @Test
    void aRequestThatNoEngineCanHoldIsRefusedWithTheSizes() {
        assertThat(policies(true).sizeError("model", SERVICE, request("p", 432_000)))
                .hasValueSatisfying(
                        e -> assertThat(e).contains("432000").contains("380").contains("432341"));
        assertThat(policies(true).sizeError("model", SERVICE, request("p", 12_000)))
                .isEmpty();
        assertThat(policies(false).sizeError("model", SERVICE, request("p", 432_000)))
                .isEmpty();
    }
}
