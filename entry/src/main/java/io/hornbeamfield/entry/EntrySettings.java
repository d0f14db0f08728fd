package io.hornbeamfield.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.route.ZoneRegions;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Settings of an entry daemon, read from a JSON file. docs/OPERATIONS.md describes the fields.
 *
 * @param instance name of this instance
 * @param availabilityZone availability zone of this instance
 * @param callerAddress address for requests of callers, {@code ip:port}
 * @param readinessAddress address for readiness checks of the platform
 * @param directoryAddress address for the address lookup of callers
 * @param peerAddress address for connections of other instances
 * @param peerSecret shared secret of the instances of a fleet; it prevents accidental links with other fleets
 * @param metricsPort port for metrics and the state dump, 0 to disable them
 * @param storeAddress address of the platform's store
 * @param storeContactMs time in milliseconds after which an instance that can reach the store must know its state
 * @param changeAdoptionMs time in milliseconds within which a change in the store must take effect
 * @param graceMs time in milliseconds between SIGTERM and SIGKILL
 * @param retryRatio retries per request that all instances together may send to a service within a window
 * @param retrySlack retries allowed within a window in addition to the ratio
 * @param retryWindowMs length of the retry window in milliseconds
 * @param addressTtlSeconds maximum time in seconds for which callers may cache looked-up addresses
 * @param deployment properties of the deployment that switch optional behaviour on
 */
public record EntrySettings(
        String instance,
        String availabilityZone,
        String callerAddress,
        String readinessAddress,
        String directoryAddress,
        String peerAddress,
        String peerSecret,
        int metricsPort,
        String storeAddress,
        long storeContactMs,
        long changeAdoptionMs,
        long graceMs,
        double retryRatio,
        double retrySlack,
        long retryWindowMs,
        int addressTtlSeconds,
        DeploymentSettings deployment) {

    /** Creates settings that leave all optional behaviour off. */
    @SuppressWarnings("checkstyle:ParameterNumber")
    public EntrySettings(
            String instance,
            String availabilityZone,
            String callerAddress,
            String readinessAddress,
            String directoryAddress,
            String peerAddress,
            String peerSecret,
            int metricsPort,
            String storeAddress,
            long storeContactMs,
            long changeAdoptionMs,
            long graceMs,
            double retryRatio,
            double retrySlack,
            long retryWindowMs,
            int addressTtlSeconds) {
        this(
                instance,
                availabilityZone,
                callerAddress,
                readinessAddress,
                directoryAddress,
                peerAddress,
                peerSecret,
                metricsPort,
                storeAddress,
                storeContactMs,
                changeAdoptionMs,
                graceMs,
                retryRatio,
                retrySlack,
                retryWindowMs,
                addressTtlSeconds,
                DeploymentSettings.none());
    }

    /** Returns the declared regions of the availability zones. */
    public ZoneRegions zoneRegions() {
        return ZoneRegions.of(deployment.regionsByZone(), availabilityZone, deployment.region());
    }

    /** Returns these settings with the reloadable values taken from other settings. */
    EntrySettings withReloadable(EntrySettings from) {
        return new EntrySettings(
                instance,
                availabilityZone,
                callerAddress,
                readinessAddress,
                directoryAddress,
                peerAddress,
                peerSecret,
                metricsPort,
                storeAddress,
                storeContactMs,
                changeAdoptionMs,
                from.graceMs,
                from.retryRatio,
                from.retrySlack,
                from.retryWindowMs,
                from.addressTtlSeconds,
                deployment);
    }

    /** Reads and validates a settings file. A refusal names the invalid field and how to correct it. */
    public static Result<EntrySettings> load(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            return invalid("Settings file " + file + " cannot be read (" + e + "). Pass an existing, readable file.");
        }
        return parse(bytes, "Settings file " + file);
    }

    /** Parses and validates settings; error messages name the given source. */
    public static Result<EntrySettings> parse(byte[] json, String source) {
        try {
            Fields f = new Fields(Json.parse(json));
            return Result.ok(new EntrySettings(
                    f.text("instance"),
                    f.text("availabilityZone"),
                    f.address("callerAddress"),
                    f.address("readinessAddress"),
                    f.address("directoryAddress"),
                    f.address("peerAddress"),
                    f.text("peerSecret"),
                    (int) f.number("metricsPort", 0, 65_535),
                    f.address("storeAddress"),
                    (long) f.number("storeContactMs", 1_000, 60_000),
                    (long) f.number("changeAdoptionMs", 500, 60_000),
                    (long) (f.number("graceSeconds", 0, 3_600) * 1_000),
                    f.number("retryRatio", 0, 10),
                    f.number("retrySlack", 0, 1e6),
                    (long) (f.number("retryWindowSeconds", 0.1, 3_600) * 1_000),
                    (int) f.number("addressTtlSeconds", 1, 3_600),
                    DeploymentSettings.parse(f.node().path("deployment"))));
        } catch (UncheckedIOException e) {
            return invalid(source + " is not valid JSON: " + e.getMessage() + ". Correct the syntax.");
        } catch (IllegalArgumentException e) {
            return invalid(source + ": " + e.getMessage());
        }
    }

    private static Result<EntrySettings> invalid(String detail) {
        return Result.refused(ResultCode.INVALID_SETTINGS, detail);
    }

    /** Reads and validates single fields. */
    private record Fields(JsonNode node) {
        String text(String name) {
            JsonNode value = node.path(name);
            if (!value.isTextual() || value.asText().isBlank()) {
                throw new IllegalArgumentException(
                        "Field \"" + name + "\" is missing, empty or not a string. Set it to a non-empty string.");
            }
            return value.asText();
        }

        String address(String name) {
            String value = text(name);
            if (!value.matches("[^:\\s]+:\\d{1,5}")) {
                throw new IllegalArgumentException(
                        "Field \"" + name + "\" is \"" + value + "\". Write an address as ip:port.");
            }
            return value;
        }

        double number(String name, double min, double max) {
            JsonNode value = node.path(name);
            if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
                throw new IllegalArgumentException(
                        "Field \"" + name + "\" is " + value + ". Write a number from " + min + " to " + max + ".");
            }
            return value.asDouble();
        }
    }
}
