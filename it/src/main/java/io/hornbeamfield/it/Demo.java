package io.hornbeamfield.it;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.it.callers.Callers;
import io.hornbeamfield.it.callers.FarEndReader;
import io.hornbeamfield.it.callers.Traffic;
import io.hornbeamfield.it.fleet.Deployment;
import io.hornbeamfield.it.fleet.Fleet;
import io.hornbeamfield.it.fleet.FleetPlan;
import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.it.judge.Verdict;
import io.hornbeamfield.net.log.Logs;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Shows a whole fleet: traffic of all workspaces, a budget that runs dry and is topped up, a router that is killed and
 * a preset switch. The last line of the output is the verdict as JSON; the exit status is 1 if a promise was broken.
 */
public final class Demo {
    private static final double REQUESTS_PER_SECOND = 60;
    /** Small enough to be used up within a few seconds of the demo's traffic. */
    private static final long SMALL_GRANT = 4_000;

    private static final int KILLED_ROUTER = 1;

    private final Deployment deployment;
    private final FleetPlan plan;
    private final String smallBudget;
    private final long seed;
    private final PrintStream out;
    private final long startNanos = System.nanoTime();

    private Demo(Path home, Deployment deployment, long seed, PrintStream out) {
        this.deployment = deployment;
        FleetPlan files = FleetPlan.ofDeployment(home, deployment);
        this.smallBudget =
                files.callerKeys().keySet().stream().max(String::compareTo).orElseThrow();
        this.plan = files.withConfiguration(
                c -> ((ObjectNode) c.path("budgets").path(smallBudget)).put("initialGrant", SMALL_GRANT));
        this.seed = seed;
        this.out = out;
    }

    /** Runs the demo. */
    public static void main(String[] args) {
        Logs.setUp();
        ArgumentParser parser = ArgumentParsers.newFor("demo").build().description("Runs a whole fleet with failures.");
        parser.addArgument("--deployment")
                .choices("quabbin", "lampka")
                .setDefault("quabbin")
                .help("which files under deploy/ to use");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the traffic");
        try {
            Namespace given = parser.parseArgs(args);
            Path home = Path.of(System.getProperty("hornbeamfield.home", "."));
            Demo demo =
                    new Demo(home, Deployment.named(given.getString("deployment")), given.getLong("seed"), System.out);
            System.exit(demo.run().kept() ? 0 : 1);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        }
    }

    private Verdict run() {
        say("starting " + plan.routers() + " routers in " + plan.zones() + " of " + deployment.directory() + ", seed "
                + seed);
        try (Fleet fleet = Fleet.start(plan);
                Callers callers = new Callers(fleet, seed)) {
            FarEndReader farEnds = new FarEndReader(fleet);
            say("serving; " + callers.workspaces().size() + " workspaces send " + REQUESTS_PER_SECOND + " requests/s");
            traffic(fleet, callers, farEnds);
            callers.awaitAll(Duration.ofSeconds(25));
            Verdict verdict = farEnds.judge(callers);
            new DemoTable(callers.outcomes(), farEnds.budgets(), farEnds.bills()).print(out);
            verdict.brokenPromises().forEach(p -> out.println("BROKEN " + p));
            out.println(verdict.line());
            return verdict;
        }
    }

    private void traffic(Fleet fleet, Callers callers, FarEndReader farEnds) {
        String pool = plan.pools("service").get(0);
        String[] nonRepeatable = plan.configuration()
                .path("pools")
                .path(pool)
                .path("nonRepeatable")
                .path(0)
                .asText()
                .split(" ");
        try (Traffic traffic = Traffic.start(callers, REQUESTS_PER_SECOND, pool, nonRepeatable[1], seed)) {
            Waits.sleep(Duration.ofSeconds(4));
            RouterHandle victim = fleet.router(KILLED_ROUTER);
            victim.process().kill();
            say("killed " + victim.id() + " with open streams");
            Waits.sleep(Duration.ofSeconds(3));
            switchPreset(fleet);
            Waits.sleep(Duration.ofSeconds(2));
            fleet.operator()
                    .run("budgets", "topup", smallBudget, Long.toString(10 * SMALL_GRANT), "--id", "demo-" + seed)
                    .orFail();
            farEnds.noteGrants();
            say("topped up budget " + smallBudget + " by " + 10 * SMALL_GRANT + " tokens");
            Waits.sleep(Duration.ofSeconds(3));
        }
        say("traffic ends; waiting for the last answers");
    }

    private void switchPreset(Fleet fleet) {
        long start = System.nanoTime();
        long revision = fleet.operator()
                .run("presets", "switch", "peak")
                .orFail()
                .path("revision")
                .asLong();
        Waits.until(
                "revision " + revision + " is in force everywhere",
                Duration.ofSeconds(19),
                () -> fleet.routers().stream()
                        .filter(r -> r.process().isAlive())
                        .allMatch(r -> fleet.revision(r) >= revision));
        say("preset peak (revision " + revision + ") is in force everywhere after "
                + (System.nanoTime() - start) / 1_000_000 + " ms");
    }

    private void say(String text) {
        out.printf("%5.1f s  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    }
}
