package io.hornbeamfield.ctl;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.ctl.internal.BlockingPlatformClient;
import io.hornbeamfield.ctl.internal.ConfigStore;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.HttpPlatformClient;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.standins.platform.PlatformStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs hornbeamctl commands against a platform stand-in. */
final class CtlFixture implements AutoCloseable {
    final PlatformStandIn platform =
            PlatformStandIn.builder().token("t").seed(3).start();
    final HttpClient http = HttpClient.create("test");
    final PlatformClient client = new HttpPlatformClient(http, "127.0.0.1:" + platform.port(), "t");
    final ConfigStore store = new ConfigStore(new BlockingPlatformClient(client));

    record Outcome(int status, String out, String err) {
        JsonNode json() {
            return Json.parse(out.getBytes(UTF_8));
        }
    }

    /** Runs a command with JSON output. */
    Outcome run(String... arguments) {
        List<String> all = new ArrayList<>(List.of(
                "--platform", "127.0.0.1:" + platform.port(), "--token", "t", "--operator-token", "o", "--output"));
        all.add("json");
        all.addAll(List.of(arguments));
        return runVerbatim(all.toArray(String[]::new));
    }

    static Outcome runVerbatim(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status =
                new Hornbeamctl(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8)).run(arguments);
        return new Outcome(status, out.toString(UTF_8), err.toString(UTF_8));
    }

    static String completeDocument() {
        try (var in = CtlFixture.class.getResourceAsStream("whole.json")) {
            return new String(in.readAllBytes(), UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs a command with {@code -f} and a temporary file that holds the document. */
    Outcome runWithDocument(String command, String document) {
        try {
            Path file = Files.createTempFile("hornbeamctl", ".json");
            try {
                Files.writeString(file, document);
                return run(command, "-f", file.toString());
            } finally {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Outcome applyCompleteDocument() {
        return runWithDocument("apply", completeDocument());
    }

    JsonNode get() {
        return run("get").json();
    }

    @Override
    public void close() {
        http.close();
        platform.close();
    }
}
