package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.it.callers.Callers;
import io.hornbeamfield.it.callers.FarEndReader;
import io.hornbeamfield.it.callers.Traffic;
import io.hornbeamfield.it.fleet.Deployment;
import io.hornbeamfield.it.fleet.Fleet;
import io.hornbeamfield.it.fleet.FleetPlan;
import io.hornbeamfield.it.judge.CallerOutcome;
import io.hornbeamfield.it.judge.Verdict;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A fleet of 7 routers in 3 zones with 3 engines and 2 services, shared by the tests of one class. The seed of its
 * traffic is printed and can be set with {@code -Dit.seed=N}.
 */
final class Scenario implements AutoCloseable {
    static final String POOL = "ledger";
    static final String CALL = "/fees";

    /** Fixed unless set, so that every run of CI sends the same traffic. */
    final long seed = Long.getLong("it.seed", 1);

    final Fleet fleet;
    final Callers callers;
    final FarEndReader farEnds;

    private Scenario(FleetPlan plan) {
        System.out.println("seed: -Dit.seed=" + seed);
        fleet = Fleet.start(plan);
        callers = new Callers(fleet, seed);
        farEnds = new FarEndReader(fleet);
    }

    static Scenario start() {
        return start(plan -> plan);
    }

    static Scenario start(UnaryOperator<FleetPlan> change) {
        FleetPlan plan = FleetPlan.ofDeployment(Path.of("..").toAbsolutePath().normalize(), Deployment.QUABBIN)
                .withConfiguration(c -> {
                    keepServers(c, "models", 3);
                    keepServers(c, POOL, 2);
                    c.path("presets").forEach(p -> ((ObjectNode) p).put("drainSeconds", 16));
                });
        return new Scenario(change.apply(plan));
    }

    private static void keepServers(ObjectNode configuration, String pool, int count) {
        ObjectNode servers = (ObjectNode) configuration.path("pools").path(pool).path("servers");
        List<String> names = servers.properties().stream().map(e -> e.getKey()).toList();
        servers.remove(names.subList(count, names.size()));
    }

    /** Sets the grants of budgets in a plan. */
    static UnaryOperator<FleetPlan> withGrant(long tokens, String... budgets) {
        return plan -> plan.withConfiguration(c -> Arrays.stream(budgets)
                .forEach(b -> ((ObjectNode) c.path("budgets").path(b)).put("initialGrant", tokens)));
    }

    /** Makes each service call take long enough that failures meet calls in progress. */
    Scenario withServiceDelayMs(long ms) {
        fleet.services().forEach(s -> fleet.backendFaults(s, "{\"delayMs\":" + ms + "}"));
        return this;
    }

    /** Starts non-repeatable calls of all workspaces at once. */
    void startCalls(int count) {
        for (int i = 0; i < count; i++) {
            callers.call(callers.workspaces().get(i % callers.workspaces().size()), POOL, CALL);
        }
    }

    Traffic traffic(double perSecond, String... workspaces) {
        List<String> chosen = workspaces.length == 0 ? callers.workspaces() : List.of(workspaces);
        return Traffic.start(callers, chosen, perSecond, POOL, CALL, seed);
    }

    /** Waits for all outcomes and requires that the far ends agree with every promise. */
    Verdict judgeKept() {
        callers.awaitAll(Duration.ofSeconds(30));
        Verdict verdict = farEnds.judge(callers);
        System.out.println(verdict.line());
        assertThat(verdict.brokenPromises())
                .as("seed %d, %s", seed, verdict.line())
                .isEmpty();
        return verdict;
    }

    /** Requires that every model request was answered. */
    void requireModelAnswers() {
        assertThat(callers.outcomes().stream()
                        .filter(o -> o.model() && o.kind() != CallerOutcome.Kind.ANSWERED)
                        .toList())
                .as("model requests without an answer, seed %d", seed)
                .isEmpty();
    }

    /** Requires that every request was answered, those to plain services included. */
    void requireAnswers() {
        assertThat(callers.outcomes().stream()
                        .filter(o -> o.kind() != CallerOutcome.Kind.ANSWERED)
                        .toList())
                .as("requests without an answer, seed %d", seed)
                .isEmpty();
    }

    @Override
    public void close() {
        callers.close();
        fleet.close();
    }
}
