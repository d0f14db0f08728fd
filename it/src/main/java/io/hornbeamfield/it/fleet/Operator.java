package io.hornbeamfield.it.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.ctl.Hornbeamctl;
import io.hornbeamfield.net.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Runs commands of hornbeamctl. */
public final class Operator {
    private final List<String> common;

    Operator(String platformAddress, String platformToken, String operatorToken) {
        common = List.of(
                "--platform",
                platformAddress,
                "--token",
                platformToken,
                "--operator-token",
                operatorToken,
                "--output",
                "json");
    }

    /** Exit status, output and error output of a command. */
    public record Result(int status, String output, String errors) {
        /** Returns the output; a failed command is an error. */
        public JsonNode orFail() {
            if (status != 0) {
                throw new IllegalStateException("hornbeamctl ended with status " + status + ": " + errors);
            }
            return Json.parse(output.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Runs a command. */
    public Result run(String... command) {
        List<String> all = new ArrayList<>(common);
        all.addAll(List.of(command));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = new Hornbeamctl(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(all.toArray(String[]::new));
        return new Result(status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}
