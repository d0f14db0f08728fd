package io.hornbeamfield.load;

import io.hornbeamfield.load.internal.LoadReport;
import io.hornbeamfield.load.internal.LoadRun;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.log.Logs;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Sends a trace or a generated profile to routers on this machine and reports latencies and outcomes.
 *
 * <pre>{@code
 * hornbeamfield-load --address 127.0.0.1:8080 --key plots=secret --profile overload --rate 50 --seconds 30 --seed 7
 * }</pre>
 */
public final class LoadTool {
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_IN_FLIGHT = 20_000;

    private LoadTool() {}

    /** Runs the tool. */
    public static void main(String[] args) throws Exception {
        Logs.setUp();
        ArgumentParser parser = parser();
        try {
            run(parser.parseArgs(args));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser p = ArgumentParsers.newFor("hornbeamfield-load").build().description("Sends load to routers.");
        p.addArgument("--address").action(Arguments.append()).help("router to ask for addresses, ip:port (repeatable)");
        p.addArgument("--key").action(Arguments.append()).help("workspace=caller key (repeatable)");
        p.addArgument("--zone").setDefault("").help("availability zone of the callers");
        p.addArgument("--trace").help("trace file to send instead of a profile");
        p.addArgument("--profile").setDefault("steady").help("steady, ramp, burst or overload");
        p.addArgument("--rate").type(Double.class).setDefault(10.0).help("requests per second");
        p.addArgument("--seconds").type(Integer.class).setDefault(10).choices(Arguments.range(1, MAX_SECONDS));
        p.addArgument("--seed").type(Long.class).setDefault(1L);
        p.addArgument("--model").setDefault("m");
        p.addArgument("--prompt-words").type(Integer.class).setDefault(60).help("mean size of a prompt");
        p.addArgument("--max-tokens").type(Integer.class).setDefault(64).help("mean limit of an answer");
        p.addArgument("--deadline-ms").type(Long.class).setDefault(10_000L);
        p.addArgument("--service-call").action(Arguments.append()).help("\"pool METHOD /path\" (repeatable)");
        p.addArgument("--service-share").type(Double.class).setDefault(0.2).help("share of service calls");
        p.addArgument("--tries").type(Integer.class).setDefault(8).choices(Arguments.range(1, 100));
        p.addArgument("--in-flight").type(Integer.class).setDefault(2_000).choices(Arguments.range(1, MAX_IN_FLIGHT));
        p.addArgument("--write-trace").help("file to write the trace to; nothing is sent");
        p.addArgument("--report").help("file for the report as JSON");
        return p;
    }

    private static void run(Namespace options) throws IOException, InterruptedException {
        Map<String, String> keys = keys(options);
        String traceFile = options.getString("trace");
        Trace trace =
                traceFile == null ? generated(options, List.copyOf(keys.keySet())) : Trace.read(Path.of(traceFile));
        String writeTo = options.getString("write_trace");
        if (writeTo != null) {
            trace.write(Path.of(writeTo));
            return;
        }
        List<String> addresses = list(options, "address");
        if (addresses.isEmpty() || keys.isEmpty()) {
            throw new IllegalArgumentException("Give at least one --address and one --key.");
        }
        LoadTargets targets = new LoadTargets(addresses, keys, options.getString("zone"));
        try (LoadRun run = new LoadRun(targets, options.getInt("in_flight"), options.getInt("tries"))) {
            LoadReport report = run.run(trace);
            System.out.print(report.table());
            String file = options.getString("report");
            if (file != null) {
                Files.write(Path.of(file), Json.bytes(report));
            }
        }
    }

    private static Trace generated(Namespace options, List<String> workspaces) {
        return TraceGenerator.seeded(options.getLong("seed"))
                .workspaces(workspaces.isEmpty() ? List.of("plots") : workspaces)
                .model(options.getString("model"))
                .serviceCalls(options.getDouble("service_share"), list(options, "service_call"))
                .ratePerSecond(options.getDouble("rate"))
                .lasting(Duration.ofSeconds(options.getInt("seconds")))
                .sizes(options.getInt("prompt_words"), options.getInt("max_tokens"))
                .deadline(Duration.ofMillis(options.getLong("deadline_ms")))
                .generate(Profile.named(options.getString("profile")));
    }

    private static List<String> list(Namespace options, String name) {
        List<String> values = options.getList(name);
        return values == null ? List.of() : values;
    }

    private static Map<String, String> keys(Namespace options) {
        Map<String, String> keys = new TreeMap<>();
        for (String pair : list(options, "key")) {
            int eq = pair.indexOf('=');
            if (eq < 1) {
                throw new IllegalArgumentException("--key must have the form workspace=key.");
            }
            keys.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        return keys;
    }
}
