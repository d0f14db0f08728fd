package io.hornbeamfield.it.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.FreePorts;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A router of the fleet: its addresses, the names of its links and its process, which a restart replaces. */
public final class RouterHandle {
    private final String id;
    private final String zone;
    private final String callerAddress = FreePorts.freeAddress();
    private final String peerAddress = FreePorts.freeAddress();
    private final String adminAddress = FreePorts.freeAddress();
    private final Path settings;
    private volatile ManagedProcess process;

    RouterHandle(
            String id,
            String zone,
            String platformAddress,
            Secrets secrets,
            long keyLifetimeSeconds,
            Processes processes) {
        this.id = id;
        this.zone = zone;
        ObjectNode s = JsonNodeFactory.instance
                .objectNode()
                .put("instanceId", id)
                .put("zone", zone)
                .put("callerAddress", callerAddress)
                .put("adminAddress", adminAddress)
                .put("peerAddress", peerAddress)
                .put("platformAddress", platformAddress)
                .put("platformToken", secrets.platformToken())
                .put("operatorToken", secrets.operatorToken())
                .put("sharedSecret", secrets.sharedSecret())
                .put("keyLifetimeSeconds", keyLifetimeSeconds)
                .put("billingFlushMs", 100)
                .put("registryEntries", 100_000);
        s.putArray("peers");
        settings = processes.directory().resolve(id + ".json");
        try {
            Files.write(settings, Json.bytes(s));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        process = launch(processes);
    }

    /** Tokens that the processes of a fleet share. */
    record Secrets(String platformToken, String operatorToken, String sharedSecret) {}

    private ManagedProcess launch(Processes processes) {
        return processes.start(id, "io.hornbeamfield.router.Main", List.of("--settings", settings.toString()));
    }

    /** Starts the instance again, as a new incarnation at the same addresses. */
    void restart(Processes processes) {
        process = launch(processes);
    }

    /** Returns the instance id. */
    public String id() {
        return id;
    }

    /** Returns the availability zone. */
    public String zone() {
        return zone;
    }

    /** Returns the address for callers. */
    public String callerAddress() {
        return callerAddress;
    }

    /** Returns the address of the admin port. */
    public String adminAddress() {
        return adminAddress;
    }

    /** Returns the name of the link between this router and the platform. */
    public String platformLink() {
        return platformLink(id);
    }

    static String platformLink(String id) {
        return id + "-platform";
    }

    /** Returns the process. */
    public ManagedProcess process() {
        return process;
    }
}
