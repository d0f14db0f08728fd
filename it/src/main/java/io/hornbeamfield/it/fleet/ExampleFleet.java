package io.hornbeamfield.it.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * A fleet of a deployment on the fixed addresses of its files, for trying commands by hand: platform stand-in, backend
 * server stand-ins and all routers, without faults and added latency.
 *
 * <pre>{@code
 * try (ExampleFleet fleet = ExampleFleet.start(Path.of("deploy/quabbin"))) {
 *     fleet.routers(); // settings files of the running routers
 * }
 * }</pre>
 */
public final class ExampleFleet implements AutoCloseable {
    private static final String ROUTER = "io.hornbeamfield.router.Main";
    private static final String PLATFORM = "io.hornbeamfield.standins.platform.Main";
    private static final String ENGINE = "io.hornbeamfield.standins.engine.Main";
    private static final String SERVICE = "io.hornbeamfield.standins.service.Main";
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);

    private final Path deployment;
    private final Processes processes = new Processes();
    private final List<Path> routers = new ArrayList<>();

    private ExampleFleet(Path deployment) {
        this.deployment = deployment;
    }

    /**
     * Starts all processes, applies the configuration of the deployment and waits until every router has adopted it.
     */
    public static ExampleFleet start(Path deployment) {
        ExampleFleet fleet = new ExampleFleet(deployment);
        try {
            fleet.startAll();
            return fleet;
        } catch (RuntimeException | AssertionError e) {
            fleet.close();
            throw e;
        }
    }

    /** Returns the settings files of the running routers. */
    public List<Path> routers() {
        return List.copyOf(routers);
    }

    private void startAll() {
        JsonNode tool = read(deployment.resolve("hornbeamctl.json"));
        String platform = tool.path("platformAddress").asText();
        String token = tool.path("platformToken").asText();
        ManagedProcess store = processes.start(
                "platform",
                PLATFORM,
                List.of("--address", platform, "--control-address", "127.0.0.1:0", "--token", token));
        Processes.awaitAddresses(store);
        Path configuration = deployment.resolve("configuration.json");
        read(configuration).path("pools").forEach(this::startServers);
        settingsFiles().forEach(this::startRouter);
        Operator operator =
                new Operator(platform, token, tool.path("operatorToken").asText());
        operator.run("apply", "-f", configuration.toString()).orFail();
        Waits.until("every router has adopted the configuration", READY_LIMIT, () -> allAdopted(operator));
    }

    private void startServers(JsonNode pool) {
        boolean model = pool.path("kind").asText().equals("model");
        pool.path("servers").properties().forEach(server -> {
            List<String> args = new ArrayList<>(
                    List.of("--address", server.getValue().path("address").asText()));
            if (model) {
                List<String> models = new ArrayList<>();
                pool.path("models").forEach(m -> models.add(m.asText()));
                args.addAll(List.of("--models", String.join(",", models)));
            }
            processes.start(server.getKey(), model ? ENGINE : SERVICE, args);
        });
    }

    private List<Path> settingsFiles() {
        try (Stream<Path> files = Files.list(deployment.resolve("routers"))) {
            return files.sorted().toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startRouter(Path settings) {
        routers.add(settings);
        String name = read(settings).path("instanceId").asText();
        processes.start(name, ROUTER, List.of("--settings", settings.toString()));
    }

    private boolean allAdopted(Operator operator) {
        Operator.Result status = operator.run("status");
        if (status.status() != 0) {
            return false;
        }
        int adopted = 0;
        for (JsonNode router : status.orFail().path("routers")) {
            adopted += router.path("revision").asLong() > 0 ? 1 : 0;
        }
        return adopted == routers.size();
    }

    private static JsonNode read(Path file) {
        try {
            return Json.parse(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot read " + file + ".", e);
        }
    }

    @Override
    public void close() {
        processes.close();
    }
}
