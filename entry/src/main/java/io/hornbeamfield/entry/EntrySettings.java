package io.hornbeamfield.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Settings of an entry daemon, read from a JSON file. docs/OPERATIONS.md lists the fields.
 *
 * @param instance name of this instance
 * @param availabilityZone availability zone of this instance
 * @param callerAddress where callers connect, {@code ip:port}
 * @param readinessAddress where the platform asks whether this instance takes requests
 * @param directoryAddress where callers ask which addresses to use
 * @param peerAddress where other instances connect
 * @param peerSecret what the instances of a fleet prove to each other; it keeps other fleets out by mistake
 * @param metricsPort port of metrics and state dump, 0 for none
 * @param storeAddress address of the platform's store
 * @param graceMs time between SIGTERM and SIGKILL
 * @param retryRatio repeats for each request that all instances together may send to a service in a window
 * @param retrySlack repeats beyond the ratio in a window
 * @param retryWindowMs length of the window
 * @param addressTtlSeconds longest time that callers may keep an answer to the question for addresses
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
        long graceMs,
        double retryRatio,
        double retrySlack,
        long retryWindowMs,
        int addressTtlSeconds) {

    /** Returns these settings with those of another file that can change while a process runs. */
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
                from.graceMs,
                from.retryRatio,
                from.retrySlack,
                from.retryWindowMs,
                from.addressTtlSeconds);
    }

    /** Reads and checks a settings file. A refusal names the field and what to do. */
    public static Result<EntrySettings> load(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            return invalid("Settings file " + file + " cannot be read (" + e + "). Pass an existing, readable file.");
        }
        return parse(bytes, "Settings file " + file);
    }

    /** Checks settings that were read from the named source. */
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
                    (long) (f.number("graceSeconds", 0, 3_600) * 1_000),
                    f.number("retryRatio", 0, 10),
                    f.number("retrySlack", 0, 1e6),
                    (long) (f.number("retryWindowSeconds", 0.1, 3_600) * 1_000),
                    (int) f.number("addressTtlSeconds", 1, 3_600)));
        } catch (UncheckedIOException e) {
            return invalid(source + " is not valid JSON: " + e.getMessage() + ". Correct the syntax.");
        } catch (IllegalArgumentException e) {
            return invalid(source + ": " + e.getMessage());
        }
    }

    private static Result<EntrySettings> invalid(String detail) {
        return Result.refused(ResultCode.INVALID_SETTINGS, detail);
    }

    /** Reads single fields and says what is wrong with them. */
    private record Fields(JsonNode node) {
        String text(String name) {
            JsonNode value = node.path(name);
            if (!value.isTextual() || value.asText().isBlank()) {
                throw new IllegalArgumentException("Field \"" + name + "\" is missing or no text. Add it.");
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

        double number(String name, double least, double most) {
            JsonNode value = node.path(name);
            if (!value.isNumber() || value.asDouble() < least || value.asDouble() > most) {
                throw new IllegalArgumentException(
                        "Field \"" + name + "\" is " + value + ". Write a number from " + least + " to " + most + ".");
            }
            return value.asDouble();
        }
    }
}
