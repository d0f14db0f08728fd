package io.hornbeamfield.it.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.it.fleet.Deployment;
import io.hornbeamfield.it.fleet.Fleet;
import io.hornbeamfield.it.fleet.FleetPlan;
import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.net.log.Logs;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Measures what control costs idle router processes at several fleet sizes: processor time, resident memory and calls
 * to the platform. Run it with {@code bin/bench processes [SIZE...]}.
 */
public final class ProcessCost {
    private static final List<Integer> SIZES = List.of(4, 8, 16, 32);
    /** Time after the start in which the JVMs compile and the first polls are more frequent. */
    private static final Duration SETTLING = Duration.ofSeconds(20);

    private static final Duration MEASURED = Duration.ofSeconds(20);
    private static final double BYTES_PER_KIB = 1024;

    private ProcessCost() {}

    /** Prints one line for each fleet size. */
    public static void main(String[] args) {
        Logs.setUp();
        List<Integer> sizes = args.length == 0
                ? SIZES
                : Arrays.stream(args).map(Integer::parseInt).toList();
        System.out.println("| routers | % of a core per router | resident MB per router | platform calls/s |");
        System.out.println("|---|---|---|---|");
        sizes.forEach(ProcessCost::measure);
    }

    private static void measure(int routers) {
        Path home = Path.of(System.getProperty("hornbeamfield.home", "."));
        FleetPlan plan =
                FleetPlan.ofDeployment(home, Deployment.named("quabbin")).withRouters(routers);
        try (Fleet fleet = Fleet.start(plan)) {
            Waits.sleep(SETTLING);
            Duration before = processorTime(fleet);
            JsonNode callsBefore = fleet.platformStats();
            Waits.sleep(MEASURED);
            Duration used = processorTime(fleet).minus(before);
            double share = 100.0 * used.toMillis() / MEASURED.toMillis() / routers;
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %.2f | %.0f | %s |%n",
                    routers,
                    share,
                    residentMegabytes(fleet) / routers,
                    callsPerSecond(callsBefore, fleet.platformStats()));
        }
    }

    private static Duration processorTime(Fleet fleet) {
        return fleet.routers().stream().map(r -> r.process().processorTime()).reduce(Duration.ZERO, Duration::plus);
    }

    private static double residentMegabytes(Fleet fleet) {
        return fleet.routers().stream().mapToLong(ProcessCost::residentKib).sum() / BYTES_PER_KIB;
    }

    private static long residentKib(RouterHandle router) {
        try (var lines =
                Files.lines(Path.of("/proc", Long.toString(router.process().pid()), "status"))) {
            return lines.filter(l -> l.startsWith("VmRSS:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String callsPerSecond(JsonNode before, JsonNode after) {
        StringBuilder text = new StringBuilder();
        after.properties().forEach(kind -> {
            double calls =
                    kind.getValue().asDouble() - before.path(kind.getKey()).asDouble();
            if (calls > 0) {
                text.append(text.isEmpty() ? "" : ", ")
                        .append(kind.getKey())
                        .append(String.format(Locale.ROOT, " %.1f", calls / MEASURED.toSeconds()));
            }
        });
        return text.toString();
    }
}
